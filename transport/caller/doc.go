// Package caller serves callers over HTTP. It admits their requests, sends each
// one to the upstream that the scheduler chooses, and returns either the
// complete answer to that request or a refusal that states whether the request
// ran.
package caller
