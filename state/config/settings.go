package config

import "github.com/figstile/figstile/state"

// Settings holds the flat and checked settings that a router derives from the
// tree, with all defaults filled in. It contains only data and survives a JSON
// round trip.
type Settings struct {
	Services   []Service
	Workspaces []WorkspaceSettings
}

// WorkspaceSettings holds the effective settings of one workspace.
type WorkspaceSettings struct {
	Name state.Workspace
	Team state.Team
	// Share is the fraction of a service's capacity that the workspace may
	// have: the team's share divided by the shares of all teams that have
	// workspaces, times the workspace's weight divided by the weights of all
	// workspaces of its team. All shares add up to 1, so a team gains nothing
	// by raising its own weights.
	Share float64
	// Services and Models list what the workspace may use; nil means all.
	Services []state.Service
	Models   []state.Model
}
