// Package conntrack tracks the connections of an HTTP server, so that unused
// ones can be closed, and the server can be stopped, without losing a request.
package conntrack
