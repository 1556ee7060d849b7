// Package exchange decides from which peers a router fetches the objects that it
// may lack: all of them after a start or a partition, or one large object that
// several peers announce. No I/O and no clock.
package exchange
