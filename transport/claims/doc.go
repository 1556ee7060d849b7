// Package claims hosts the claims machine in an actor and performs its reads
// and writes on the platform's object store.
package claims
