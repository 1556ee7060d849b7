// Package directory holds the known upstreams by id. It contains plain data,
// which revisions that only increase keep consistent with the platform's list.
package directory
