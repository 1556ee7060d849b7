// Package settings connects a router's tree of settings with the platform's
// object API and with the other routers. A Source takes objects from both
// and publishes the view in force; a Writer changes objects conditionally and
// finds out what became of a write whose answer was lost.
package settings
