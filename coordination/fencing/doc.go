// Package fencing decides when a router may give orders to an engine. The
// right is a lease, an object in the platform's store that is taken and renewed
// by conditional writes only and carries a fencing number that rises with each
// new holder. Engines that check the number refuse a holder that was replaced;
// for engines that ignore it the holder itself keeps well inside its lease.
//
// Step is deterministic: the same events in the same order give the same
// actions. The host performs the actions and feeds back what came of them.
package fencing
