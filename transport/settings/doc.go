// Package settings connects a router's tree of settings with the platform's
// object API and with the other routers. A Source receives objects from both
// and publishes the view in force. A Writer changes objects with conditional
// writes, and determines the outcome of a write whose answer was lost.
package settings
