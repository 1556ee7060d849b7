// Package overlay decides which routers of a fleet hold sessions with each
// other. In a fleet of up to MaxFullMeshRouters routers, each router holds a
// session with every other one. In a larger fleet the routers form a tree of
// bounded degree: the routers of each data centre form a subtree, and the first
// routers of the data centres form the top of the tree. Over a link of the
// tree, each side sends the sum of the counters of all routers on its side, so
// neither the number of sessions of a router nor the traffic it receives grows
// with the fleet.
//
// A link always connects a router to a parent that precedes it in a total
// order, which all routers compute in the same way. Links therefore never form
// a cycle, even while routers disagree about the members of the fleet, and no
// counter is added twice.
//
// The package does no I/O and reads no clock.
package overlay
