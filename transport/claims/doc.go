// Package claims runs the claims state machine in an actor, and performs the
// machine's reads and writes on the platform's object store.
package claims
