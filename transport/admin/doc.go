// Package admin serves the administration API of a router under /admin/v1: the
// objects of the settings tree and their history, edits of teams, workspaces
// and upstreams, the status of the fleet and the drain of this router. Every
// router serves the API, and a change made through one router comes into force
// on all.
package admin
