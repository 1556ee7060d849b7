// Package caller serves callers over HTTP: it admits their requests, runs the
// scheduler's dispatches on upstreams, and gives every caller its own whole
// answer or a refusal that says whether the request ran.
package caller
