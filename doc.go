// Package figstile is the root package of a fleet of HTTP routers for
// organisations whose workspaces share language model engines and application
// workers. The two binaries are cmd/figstiled, the router daemon, and
// cmd/figstile, the command line tool for operators.
package figstile
