// Package edge runs one router of a fleet whose operators and upstreams
// register in the platform's store. The router follows the store's
// configuration and list of upstreams, exchanges both and its own load with its
// peers, and serves callers. Package coordination makes the decisions, and a
// Platform translates the formats of the store.
package edge
