// Package fairness decides whose turn it is on the upstreams of one owner, so
// that the service of backlogged workspaces stays even over the whole fleet.
//
// The virtual time of workspace w at owner o is
//
//	V(w) = (own + others + extrapolated) / share(w) + lift(w) - forgiven(w)
//	extrapolated = sum over live peers p of
//	               granted by o since p was last heard x share(p) / share(o)
//
// where own and others are charged and reserved cost, and share(o) and
// share(p) are parts of the service's slots. The workspace with the least
// virtual time is next. If every owner instead gave its slots to whoever was
// behind at the last exchange, all would choose the same one, and the gap
// would grow with the age of the counters. Each owner therefore assumes that
// the others go on as it does. Only grants are extrapolated, at their
// estimated cost; how far a single request misses its estimate says nothing of
// the requests of others.
//
// # Bound
//
// For two workspaces i and j that stay backlogged on all owners' upstreams,
// the gap of weighted service |served(i)/share(i) - served(j)/share(j)| grows
// in any time by no more than
//
//	G(i) + G(j), with G(w) = (R(w) + c(w) + C x (T + d)) / share(w)
//
// where R is the most cost set aside for requests of w in progress, c the
// largest cost of one, C the service of all slots per second, T the period of
// exchanges and d the delay of their messages. The first two terms are what a
// single fresh queue has as well. The last is what may happen unheard; it is
// reached only if all other owners serve one workspace while this one serves
// another, and extrapolation makes that an error of estimates, which averages
// out. docs/design/fairness.md has measured figures.
//
// Beyond the bound lie: up to idleGrace of service for a workspace that seemed
// idle; what was served on the other side of a partition, of which clampWindow
// is made up for at most; and, after a start of the whole fleet, requests of
// which no cost is known yet.
package fairness
