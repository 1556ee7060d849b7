// Package coldstart limits the requests that all routers together send to an
// upstream which has just started. A cold upstream crashes if the requests of
// many routers arrive at once, and it looks idle to each of them. One router of
// the upstream's data centre, chosen by rendezvous hash, sends requests to it
// at an even pace until it is warm; all others send none.
//
// Routers that are cut off from each other may choose different senders. The
// pace is therefore such that two senders together keep within the limit, and a
// router only sends while it reaches most routers of the data centre. The
// package does no I/O and takes the time as an argument.
package coldstart
