// Package fairness decides whose turn it is on the upstreams of one owner, so
// that the service of backlogged workspaces stays even over the whole fleet.
//
// The virtual time of workspace w at owner o is
//
//	V(w) = (own + others + extrapolated) / share(w) + lift(w) - forgiven(w)
//	extrapolated = sum over live peers p of granted since p was last heard x share(p)/share(o)
//
// where own and others are charged and reserved cost, and share(o) and
// share(p) are parts of the service's slots. The workspace with the least
// virtual time is next. If every owner instead gave its slots to whoever was
// behind at the last exchange, all would choose the same one: the gap would
// grow with the age of the counters. Each owner therefore assumes that the
// others go on as it does. Only grants are extrapolated, at their estimated
// cost; how far a single request misses its estimate says nothing of the
// requests of others.
package fairness
