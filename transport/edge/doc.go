// Package edge runs one router of a fleet that is configured through the
// platform's store: operators write the configuration there, and upstreams
// register there. The router follows both, exchanges them and its own load with
// its peers, and serves callers. The packages below coordination make the
// decisions, and a Platform translates the formats of the store.
package edge
