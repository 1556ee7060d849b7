// Package fairness selects the workspace that gets the next free slot of one
// owner, so that backlogged workspaces are served evenly over the whole fleet.
//
// The virtual time of workspace w at owner o is
//
//	V(w) = (own + others + extrapolated) / share(w) + lift(w) - forgiven(w)
//	extrapolated = sum over live peers p of
//	               granted by o since counters of p were last received
//	               x share(p) / share(o)
//
// where own and others are charged and reserved cost, and share(o) and share(p)
// are the fractions of the service's slots that o and p own. lift(w) is the
// amount by which w was lifted when it returned from idle. forgiven(w) is the
// amount that the clamp, changes of share(w) and the adoption of a peer's
// virtual times have subtracted.
//
// The workspace with the lowest virtual time is next. If every owner instead
// gave its slots to the workspace that was behind at the last exchange, all
// would choose the same one, and the gap would grow with the age of the
// counters. Each owner therefore assumes that the others grant in the same
// proportions as itself. Only grants are extrapolated, at their estimated cost.
// The error in the estimate of a single request says nothing about the requests
// of other owners, so it is not extrapolated.
//
// # Bound
//
// For two workspaces i and j that stay backlogged on the upstreams of all
// owners, the gap of weighted service |served(i)/share(i) - served(j)/share(j)|
// grows in any period by no more than
//
//	G(i) + G(j), with G(w) = (R(w) + c(w) + C x (T + d)) / share(w)
//
// where R is the maximum cost reserved for requests of w in progress, c the
// maximum cost of one request, C the service of all slots per second, T the
// interval between exchanges and d the delay of their messages. The first two
// terms also apply to a single queue without delays. The last term covers
// grants that other owners have not been informed of yet. It is reached only if
// all other owners serve one workspace while this one serves another. With
// extrapolation it shrinks to the error of the estimates, which averages out.
// See docs/design/fairness.md for results.
//
// The bound does not cover up to idleGrace of service for a workspace that only
// seemed idle; service on the other side of a partition, of which at most
// clampWindow is compensated; and, after a start of the whole fleet, requests
// whose cost cannot be estimated yet.
package fairness
