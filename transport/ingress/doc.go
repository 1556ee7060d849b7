// Package ingress serves callers that reach upstreams through routes: by host
// and path, with keys of workspaces, deadlines and attempts. It admits each
// request, sends it to one upstream, and returns the complete answer to the
// caller, or an error that correctly states whether the request ran.
//
// This package ensures that requests which must run at most once do so. A
// request that may have reached an upstream is only sent again if its route
// allows repeating it. A refusal only states that the request did not run if
// nothing was sent, or if every upstream that received it has stated that it
// did not run it.
//
// A Dialect translates the headers of messages into the fields that decisions
// depend on. A Dispatcher decides on admission and on the upstream.
package ingress
