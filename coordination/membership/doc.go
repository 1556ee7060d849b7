// Package membership decides which routers of the fleet are live, which
// session a pair of routers keeps, and when to dial. It does no I/O: the host
// feeds it what happened on the sessions and performs its actions.
//
// A member is live while it has a session on which something was heard
// lately, suspect after its session has closed until SessionGrace ends, and
// gone after that. Suspect members are still published, so that a broken
// connection which is replaced at once moves no ownership of upstreams.
//
// All limits are measured in the time for which this process was seen to run,
// not on the clock; see runClock.
package membership
