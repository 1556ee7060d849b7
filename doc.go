// Package figstile is the root of a router fleet for organisations whose
// workspaces share language model engines and application workers. The two
// binaries are cmd/figstiled, the daemon, and cmd/figstile, the operators'
// command line.
package figstile
