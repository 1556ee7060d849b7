// Package routing holds one version of the operators' routes, services,
// workspaces and limits as plain data and finds the route of a request in it.
package routing
