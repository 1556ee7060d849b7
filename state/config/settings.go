package config

import "github.com/figstile/figstile/state"

// Settings are what a router derives from the tree: flat, checked and
// complete. They are plain data and survive a round trip through JSON.
type Settings struct {
	Services   []Service
	Workspaces []WorkspaceSettings
}

// WorkspaceSettings are one workspace's effective settings.
type WorkspaceSettings struct {
	Name state.Workspace
	Team state.Team
	// Share is the workspace's part of the whole: the team's share over all
	// teams' times the workspace's weight over its team's. All shares add
	// up to 1, so a team cannot gain by raising its own weights.
	Share float64
	// Services and Models the workspace may use; nil means all.
	Services []state.Service
	Models   []state.Model
}
