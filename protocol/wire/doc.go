// Package wire converts between the scheduler's events and actions and the
// messages of package peerpb, and reads and writes these messages as frames on
// a byte stream. It checks all values from a peer against bounds before the
// scheduler receives them.
package wire
