// Package objectstore is the interface of routers to the platform's object API:
// versioned objects with conditional updates and watches. Every implementation
// must pass the conformance suite in objectstoretest.
package objectstore
