// Package state holds the plain data that every other layer shares: names,
// costs, load reports and request attributes. It does no I/O, reads no clock
// and imports nothing else of the project.
package state
