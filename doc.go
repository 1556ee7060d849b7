// Package figstile is the root of the source of a fleet of HTTP routers. It is
// made for organisations whose workspaces share language model engines and
// application workers. The two binaries are cmd/figstiled, the router daemon, and
// cmd/figstile, the command line tool for operators.
package figstile
