// Package overlay decides which routers of a fleet hold sessions with each
// other. Up to DirectUpTo routers each holds one with every other. Above that
// they form a tree of bounded degree: routers of a data centre below one of
// them, and the first routers of the data centres below each other. What one
// side of a link knows is told to the other side as a sum, so that neither the
// sessions of a router nor what it receives grow with the fleet.
//
// A link always joins a router to one that precedes it in an order that all
// routers compute alike. Links therefore never form a cycle, whatever the
// routers believe of the fleet at the time, and nothing counts twice.
//
// The package does no I/O and has no clock of its own.
package overlay
