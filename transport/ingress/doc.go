// Package ingress serves callers that reach upstreams through routes: by host
// and path, with keys of workspaces, deadlines and attempts. It admits each
// request, sends it to one upstream, and gives the caller the whole answer or
// a truthful account of why not.
//
// What runs at most once is decided here: a request that may have reached an
// upstream is only sent again if its route says that it may be repeated, and
// a refusal that promises "not run" is only given while nothing was sent, or
// every upstream it was sent to has said that it did not run it.
//
// How messages spell what is decided on is a Dialect's business; the decisions
// on placing and admitting are a Dispatcher's.
package ingress
