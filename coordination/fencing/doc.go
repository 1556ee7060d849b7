// Package fencing decides when a router may send orders to an engine. A router
// needs a lease to do so. The lease is an object in the platform's store that
// is taken and renewed only by conditional writes, and it carries a fencing
// number that rises with each new holder. Engines that check the number reject
// orders from a replaced holder. For engines that ignore the number, the holder
// stops sending orders a safety margin before its lease ends.
//
// Step is deterministic: the same events in the same order lead to the same
// actions. The host performs the actions and reports their results as events.
package fencing
