// Package directory holds the known upstreams by id: plain data, kept in step
// with the platform's list by revisions that only grow.
package directory
