// Package routing holds one version of the operators' routes, services,
// workspaces and limits as plain data, and looks requests up in it.
package routing
