package logging

import (
	"bytes"
	"fmt"
	"maps"
	"slices"
	"time"

	"golang.org/x/time/rate"
)

const (
	// routineLinesPerSecond and failureLinesPerSecond limit the lines per
	// second of one kind: the first for lines of successes, the second for
	// those of refusals and failures. A router of the largest fleet serves 230
	// requests per second, which is below both limits, so lines are dropped
	// only beyond its usual load. At 400 bytes a line, both limits together
	// allow 360 KB/s for lines of requests.
	routineLinesPerSecond = 300
	failureLinesPerSecond = 600
	// maxKinds limits the number of kinds that are counted separately. It is
	// larger than the number of events, whose names are fixed in the code.
	maxKinds = 128
)

// otherKind collects the lines of further kinds when maxKinds is reached.
const otherKind = "level=unknown event=other"

// lineKind counts and limits the lines with one level and event.
type lineKind struct {
	limiter   *rate.Limiter
	isFailure bool
	dropped   int
}

// pendingLimit returns the number of pending bytes, including the new line, up
// to which a line of this kind is accepted.
func (k *lineKind) pendingLimit() int {
	if k.isFailure {
		return maxPendingBytes
	}
	return maxRoutinePendingBytes
}

// throttle limits each kind of line by a rate of its own, so that a flood of
// one kind, such as refusals, does not displace the others. It is not safe for
// concurrent use.
type throttle struct{ kinds map[string]*lineKind }

func newThrottle() *throttle { return &throttle{kinds: make(map[string]*lineKind)} }

// kindFor returns the lineKind of a line, and creates it if needed.
func (t *throttle) kindFor(line []byte) *lineKind {
	name := kindName(line)
	if k := t.kinds[string(name)]; k != nil {
		return k
	}
	if len(t.kinds) >= maxKinds {
		name = []byte(otherKind)
	}
	k := t.kinds[string(name)]
	if k == nil {
		k = newKind(name)
		t.kinds[string(name)] = k
	}
	return k
}

func newKind(name []byte) *lineKind {
	linesPerSecond, isFailure := routineLinesPerSecond, !bytes.HasPrefix(name, []byte("level=info ")) && !bytes.HasPrefix(name, []byte("level=debug "))
	if isFailure {
		linesPerSecond = failureLinesPerSecond
	}
	return &lineKind{limiter: rate.NewLimiter(rate.Limit(linesPerSecond), linesPerSecond), isFailure: isFailure}
}

// kindName returns the level and event of a line, which are the pairs after its
// time.
func kindName(line []byte) []byte {
	_, rest, found := bytes.Cut(line, []byte(" "))
	if !found || !bytes.HasPrefix(rest, []byte("level=")) {
		return []byte(otherKind)
	}
	level := bytes.IndexByte(rest, ' ')
	if level < 0 {
		return bytes.TrimSpace(rest)
	}
	event := rest[level+1:]
	if value, quoted := bytes.CutPrefix(event, []byte(`event="`)); quoted {
		if end := bytes.IndexByte(value, '"'); end >= 0 {
			return rest[:len(rest)-len(value)+end+1]
		}
	}
	if end := bytes.IndexByte(event, ' '); end >= 0 {
		return rest[:level+1+end]
	}
	return bytes.TrimSpace(rest)
}

// appendDropped appends a line for each kind of which lines were dropped since
// the last call.
func (t *throttle) appendDropped(lines []byte, now time.Time) []byte {
	for _, name := range slices.Sorted(maps.Keys(t.kinds)) {
		k := t.kinds[name]
		if k.dropped == 0 {
			continue
		}
		lines = fmt.Appendf(lines, "time=%s level=warn event=\"log lines dropped\" lines=%d of=%q\n", now.UTC().Format(timeFormat), k.dropped, name)
		k.dropped = 0
	}
	return lines
}
