package metrics

import "github.com/uber-go/tally/v4"

// maxSubjects limits the number of subjects of one family of counters.
// Upstreams get a new ID at each start, so their number grows as long as a
// router runs. Further subjects share the tag value "other".
const maxSubjects = 512

// counters is a family of counters with two tags: a subject, such as an
// upstream, and an event, such as an outcome.
type counters struct {
	scope tally.Scope
	name  string
	// subjectTag and eventTag are the names of the two tags.
	subjectTag, eventTag string
	subjects             map[string]map[string]tally.Counter
}

func newCounters(scope tally.Scope, name, subjectTag, eventTag string) counters {
	return counters{
		scope: scope, name: name, subjectTag: subjectTag, eventTag: eventTag,
		subjects: make(map[string]map[string]tally.Counter),
	}
}

// get returns the counter for a subject and an event. The event must be one of
// a few values, as their number is not limited here.
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
