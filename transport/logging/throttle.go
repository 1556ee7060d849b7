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
	// routineLinesPerSecond and troubleRate bound the lines a second of one kind: those of
	// success, and those of refusals and failures. A router of the largest
	// fleet serves 230 requests a second, so that only what comes beyond that
	// is left out; at 400 bytes a line the bound is 360 KB/s for requests.
	routineLinesPerSecond = 300
	failureLinesPerSecond = 600
	// maxKinds bounds what is kept of kinds; events are named in the code and
	// are fewer.
	maxKinds = 128
)

// otherKind takes the lines of kinds beyond maxKinds.
const otherKind = "level=unknown event=other"

// lineKind is what counts lines of one level and event.
type lineKind struct {
	limiter   *rate.Limiter
	isFailure bool
	dropped   int
}

// pendingLimit is how many bytes may wait when a line of this kind is taken.
func (k *lineKind) pendingLimit() int {
	if k.isFailure {
		return maxPendingBytes
	}
	return maxRoutinePendingBytes
}

// throttle bounds each kind of line by a rate of its own, so that a flood of
// one, as of refusals, leaves the others readable. It is not safe for
// concurrent use.
type throttle struct{ kinds map[string]*lineKind }

func newThrottle() *throttle { return &throttle{kinds: make(map[string]*lineKind)} }

// kindFor returns the counts of a line's kind.
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
	perSecond, isFailure := routineLinesPerSecond, !bytes.HasPrefix(name, []byte("level=info ")) && !bytes.HasPrefix(name, []byte("level=debug "))
	if isFailure {
		perSecond = failureLinesPerSecond
	}
	return &lineKind{limiter: rate.NewLimiter(rate.Limit(perSecond), perSecond), isFailure: isFailure}
}

// kindName returns a line's level and event, the pairs after its time.
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
