package metrics

import "github.com/uber-go/tally/v4"

// maxSubjects bounds the subjects of a kind of counter. Upstreams get a new id
// at each start, so that their number grows for as long as a router runs; later
// ones share the tag value "other".
const maxSubjects = 512

// counters count what happened by a subject and what it was.
type counters struct {
	scope tally.Scope
	name  string
	// subjectTag and whatTag name the two tags.
	subjectTag, eventTag string
	subjects             map[string]map[string]tally.Counter
}

func newCounters(scope tally.Scope, name, subjectTag, eventTag string) counters {
	return counters{
		scope: scope, name: name, subjectTag: subjectTag, eventTag: eventTag,
		subjects: make(map[string]map[string]tally.Counter),
	}
}

// get returns the counter of a subject; what is one of few values.
func (c *counters) get(subject, event string) tally.Counter {
	if _, ok := c.subjects[subject]; !ok && len(c.subjects) >= maxSubjects {
		subject = overflowTag
	}
	byEvent := c.subjects[subject]
	if byEvent == nil {
		byEvent = make(map[string]tally.Counter)
		c.subjects[subject] = byEvent
	}
	counter, ok := byEvent[event]
	if !ok {
		counter = c.scope.Tagged(map[string]string{c.subjectTag: subject, c.eventTag: event}).Counter(c.name)
		byEvent[event] = counter
	}
	return counter
}
