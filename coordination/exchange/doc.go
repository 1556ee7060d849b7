// Package exchange decides from which peers a router fetches objects that it
// may lack: all objects after a start or a partition, or one large object that
// several peers announce. It does no I/O and reads no clock.
package exchange
