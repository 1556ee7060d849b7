package membership

import "time"

// runClock measures the time during which this process was running.
//
// It guards against a frozen process (stopped, swapped out or paused with its
// VM). When such a process wakes up, it has received no message for
// SessionTimeout and would declare the whole fleet dead, although minutes of
// heartbeats wait in its sockets; for several seconds this one router would
// take over every upstream. To prevent that, a gap between two steps counts as
// one heartbeat interval at most, so a pause of any length amounts to one
// missed heartbeat. The remaining intervals of SessionTimeout give the readers
// time to drain the sockets. The drained messages were sent during the pause
// and do not prove that a peer is still alive. However, a session that the peer
// closed meanwhile ends in a read error after them, and a dead peer is still
// detected SessionTimeout later. A gap counts as one interval instead of zero
// so that a process which stalls repeatedly does not consider a dead peer live
// for ever.
type runClock struct {
	last    time.Time
	elapsed time.Duration
}

// advance moves the clock to now and returns the unbounded time since the
// previous step.
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
