// Package edge runs one router of a fleet whose operators and upstreams meet in
// the platform's store: it follows the store's configuration and list of
// upstreams, shares both and its own load with its peers, and serves callers.
// The decisions are in coordination; the store's formats come as a Platform.
package edge
