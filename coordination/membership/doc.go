// Package membership decides which routers of the fleet are live, which session
// two routers keep, and when to dial. It does no I/O: the host reports events
// on the sessions to the state machine and performs the actions that it
// returns.
//
// A member is live while it has a session that received a message within
// SessionTimeout. When the session closes, the member is suspect until
// ReconnectGrace ends, and departed after that. A member departs at once if it
// was draining, if its session was silent for SessionTimeout, or if this router
// closed the session because it is not needed. Suspect members are still
// published, so a broken connection that is replaced at once does not change
// the ownership of upstreams.
//
// All time limits are measured in the time during which this process was
// running, not in wall-clock time; see runClock.
package membership
