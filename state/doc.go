// Package state holds the plain data types that all other layers share: names,
// costs, load reports and request attributes. It does no I/O, reads no clock
// and imports no other package of this module.
package state
