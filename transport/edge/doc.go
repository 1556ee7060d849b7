// Package edge runs one router of a fleet that is configured through the
// platform's store: operators write the configuration there, and upstreams
// register there. The router follows both, exchanges them and its own load with
// its peers, and serves callers. The packages below coordination make the
// decisions, and a Platform translates the formats of the store.
//
// # Locks
//
// Each part has a lock of its own. While a part holds its lock, it calls no
// function value but the clock, and of the other parts only those further right:
//
//	catalogue.decodeMu -> catalogue.mu -> dispatcher.mu
//	fleet.packsMu      -> catalogue.mu -> dispatcher.mu
//	fleet.mu           -> dispatcher.mu, and the mesh
//
// catalogue.mu and fleet.mu are never held together. A call against the order is
// made after the lock was released, with what it needs as values: see
// catalogue.takeLost and fleet.updateOverlay. The mesh calls this package
// without holding its lock. TestLocksAreTakenInOneOrder checks the order in the
// source.
package edge
