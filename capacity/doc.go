// Package capacity works out what a fleet of a given size costs each router,
// from slopes measured on the deciders, codecs and sessions themselves, and
// compares it with the limits. Measure writes the slopes, NewReport reads
// them. A figure that is neither a slope, nor a constant of the package that
// uses it, nor a size of the fleet is named as an assumption in Fleet.
package capacity
