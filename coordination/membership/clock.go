package membership

import "time"

// runClock measures the time for which this process was seen to run.
//
// It guards against a frozen process (stopped, swapped out or paused with its
// VM) that wakes up, finds that nothing was heard from anyone for LostAfter,
// and declares the whole fleet dead, while minutes of heartbeats wait in its
// sockets. It would show as one router that takes over every upstream for
// seconds. The guard: a gap between two steps counts as one heartbeat interval
// at most, so a pause of any length is one missed heartbeat. The readers then
// have the remaining ones to drain the sockets. What they read was sent during
// the pause and proves little, but sessions that the peers gave up meanwhile
// end in an error behind it, and a peer that is dead is still found LostAfter
// later. Counting gaps rather than forgiving them keeps a process that stalls
// again and again from taking a dead peer for live for ever.
type runClock struct {
	last    time.Time
	elapsed time.Duration
}

// advance moves the clock to now and returns the gap since the step before.
func (c *runClock) advance(now time.Time) time.Duration {
	if c.last.IsZero() {
		c.last = now
		return 0
	}
	gap := now.Sub(c.last)
	if gap <= 0 {
		return 0
	}
	c.last = now
	c.elapsed += min(gap, HeartbeatInterval)
	return gap
}
