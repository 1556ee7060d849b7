// Package platform is a stand-in for the platform: an object API with versions,
// conditional updates and watches, and a list of virtual machines. It keeps
// everything in memory and serves it over HTTP.
package platform
