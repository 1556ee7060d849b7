package metrics

import "github.com/uber-go/tally/v4"

// maxCounters bounds the subjects of a kind of counter. Upstreams get a new id
// at each start, so that their number grows for as long as a router runs; later
// ones share the tag value "other".
const maxCounters = 512

// counters count what happened by a subject and what it was.
type counters struct {
	scope tally.Scope
	name  string
	// subjectTag and whatTag name the two tags.
	subjectTag, whatTag string
	subjects            map[string]map[string]tally.Counter
}

func newCounters(scope tally.Scope, name, subjectTag, whatTag string) counters {
	return counters{
		scope: scope, name: name, subjectTag: subjectTag, whatTag: whatTag,
		subjects: make(map[string]map[string]tally.Counter),
	}
}

// get returns the counter of a subject; what is one of few values.
func (c *counters) get(subject, what string) tally.Counter {
	if _, ok := c.subjects[subject]; !ok && len(c.subjects) >= maxCounters {
		subject = other
	}
	kinds := c.subjects[subject]
	if kinds == nil {
		kinds = make(map[string]tally.Counter)
		c.subjects[subject] = kinds
	}
	counter, ok := kinds[what]
	if !ok {
		counter = c.scope.Tagged(map[string]string{c.subjectTag: subject, c.whatTag: what}).Counter(c.name)
		kinds[what] = counter
	}
	return counter
}
