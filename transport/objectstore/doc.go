// Package objectstore is the routers' view of the platform's object API:
// versioned objects with conditional update and watch. Every implementation
// passes the conformance suite in objectstoretest.
package objectstore
