// Package admin serves the administration API of a router under /admin/v1:
// objects of the settings tree and their history, edits of teams, workspaces
// and upstreams, status of the fleet and the drain of this router. Every
// router serves it, and a change through one is in force on all.
package admin
