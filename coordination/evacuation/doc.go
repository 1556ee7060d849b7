// Package evacuation holds which data centres are evacuated: no new request may
// be sent to their upstreams until the evacuation ends. Operators request
// evacuations in the platform's store, and routers learn of them from the store
// or from each other, late and in any order.
package evacuation
