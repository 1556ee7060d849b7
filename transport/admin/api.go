package admin

import (
	"encoding/json"
	"time"

	"github.com/figstile/figstile/state"
	"github.com/figstile/figstile/state/config"
)

// Prefix is the path under which the API is served.
const Prefix = "/admin/v1"

// HeaderChangeID lets a client choose a change's id. A client that repeats a
// write with the same id after a lost answer changes nothing twice.
const HeaderChangeID = "Figstile-Change-Id"

// Origins of a document.
const (
	// FromPlatform marks the platform's present version.
	FromPlatform = "platform"
	// FromRouter marks the version in force on the answering router, shown
	// while the platform is away.
	FromRouter = "router"
)

// ObjectDocument is one object of the tree.
type ObjectDocument struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
	// Source is FromPlatform or FromRouter.
	Source string          `json:"source"`
	Value  json.RawMessage `json:"value"`
}

// ObjectVersion is the version of an object in force on a router.
type ObjectVersion struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
	// Change is the one that produced the version.
	Change *config.Change `json:"change,omitempty"`
}

// RefusedVersion is a version that a router has seen but not taken.
type RefusedVersion struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
	Reason  string `json:"reason"`
}

// ObjectList lists the versions in force.
type ObjectList struct {
	Objects []ObjectVersion  `json:"objects"`
	Refused []RefusedVersion `json:"refused,omitempty"`
}

// ChangeRecord is a change with the version it produced.
type ChangeRecord struct {
	config.Change
	Version uint64 `json:"version"`
}

// HistoryDocument lists an object's last changes, the newest first.
type HistoryDocument struct {
	Key     string         `json:"key"`
	Version uint64         `json:"version"`
	Source  string         `json:"source"`
	Changes []ChangeRecord `json:"changes"`
}

// WriteResult tells what a change did.
type WriteResult struct {
	Key      string `json:"key"`
	Version  uint64 `json:"version"`
	ChangeID string `json:"change_id,omitempty"`
	// Unchanged says that the object was already as wanted.
	Unchanged bool `json:"unchanged,omitempty"`
	// DryRun says that the change was only checked.
	DryRun bool `json:"dry_run,omitempty"`
}

// Problem is the body of a refusal, after RFC 9457.
type Problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail"`
	Code   int    `json:"code"`
	Ran    string `json:"ran"`
	// Faults lists what is wrong with the settings.
	Faults []config.Fault `json:"faults,omitempty"`
	// Conflict is what won a race.
	Conflict *Conflict `json:"conflict,omitempty"`
	// ChangeID is the change whose outcome is unknown.
	ChangeID string `json:"change_id,omitempty"`
}

// Conflict describes the version that a write met instead of the expected
// one.
type Conflict struct {
	Key      string `json:"key"`
	Expected uint64 `json:"expected"`
	Version  uint64 `json:"version"`
	// Winner is the change that produced it, unless it could not be read.
	Winner *config.Change `json:"winner,omitempty"`
}

// TeamDocument is one team as the root and its subtree describe it.
type TeamDocument struct {
	Name       state.Team      `json:"name"`
	Share      float64         `json:"share"`
	Services   []state.Service `json:"services,omitempty"`
	Tokens     int             `json:"tokens"`
	Workspaces int             `json:"workspaces"`
}

// TeamList lists teams in order of their names.
type TeamList struct {
	Teams []TeamDocument `json:"teams"`
}

// CreateTeam adds a team to the root.
type CreateTeam struct {
	Name     state.Team      `json:"name"`
	Share    float64         `json:"share"`
	Tokens   []string        `json:"tokens,omitempty"`
	Services []state.Service `json:"services,omitempty"`
}

// SetShare changes a team's share.
type SetShare struct {
	Share float64 `json:"share"`
}

// WorkspaceDocument is one workspace with what follows from its settings.
type WorkspaceDocument struct {
	config.Workspace
	Team state.Team `json:"team"`
	// Share is its part of the whole fleet.
	Share float64 `json:"share"`
}

// WorkspaceList lists workspaces in order of their names.
type WorkspaceList struct {
	Workspaces []WorkspaceDocument `json:"workspaces"`
}

// SetWeight changes a workspace's weight.
type SetWeight struct {
	Weight float64 `json:"weight"`
}

// AddToken adds a token by its digest; the token itself never leaves the
// client.
type AddToken struct {
	Digest string `json:"digest"`
}

// UpstreamDocument is one upstream with its service.
type UpstreamDocument struct {
	config.Upstream
	Service state.Service `json:"service"`
}

// UpstreamList lists upstreams in the order of the root.
type UpstreamList struct {
	Upstreams []UpstreamDocument `json:"upstreams"`
}

// RouterStatus is what one router says of itself.
type RouterStatus struct {
	Router      state.Router      `json:"router"`
	DataCentre  state.DataCentre  `json:"data_centre"`
	Incarnation state.Incarnation `json:"incarnation"`
	Started     time.Time         `json:"started"`
	Ready       bool              `json:"ready"`
	Draining    bool              `json:"draining"`
	// Config and Refused are filled in by this package.
	Config     []ObjectVersion   `json:"config"`
	Refused    []RefusedVersion  `json:"refused,omitempty"`
	Upstreams  []UpstreamStatus  `json:"upstreams,omitempty"`
	Workspaces []WorkspaceStatus `json:"workspaces,omitempty"`
	Services   []ServiceStatus   `json:"services,omitempty"`
}

// UpstreamStatus is a router's view of one upstream.
type UpstreamStatus struct {
	Upstream   state.Upstream   `json:"upstream"`
	Service    state.Service    `json:"service"`
	DataCentre state.DataCentre `json:"data_centre"`
	// Owner is the router that hands out its slots, as this one sees it.
	Owner state.Router `json:"owner,omitempty"`
	// Running counts this router's requests on it.
	Running int `json:"running"`
	Slots   int `json:"slots"`
	// Usable says that it gets new work.
	Usable   bool `json:"usable"`
	Draining bool `json:"draining,omitempty"`
	// ReportAgeMillis is the age of its last load report; negative if there
	// is none.
	ReportAgeMillis int64 `json:"report_age_ms"`
}

// WorkspaceStatus is a workspace's work on one service at one router.
type WorkspaceStatus struct {
	Service      state.Service   `json:"service"`
	Workspace    state.Workspace `json:"workspace"`
	Waiting      int             `json:"waiting"`
	WaitingBytes int64           `json:"waiting_bytes"`
	Running      int             `json:"running"`
	// Served is the cost charged by this incarnation.
	Served state.Cost `json:"served"`
}

// ServiceStatus is one service as a router sees it.
type ServiceStatus struct {
	Service state.Service `json:"service"`
	// Gap is the fairness gap between backlogged workspaces.
	Gap state.Cost `json:"gap"`
}

// RouterReport is the status of one router of the fleet, or why there is
// none.
type RouterReport struct {
	Router state.Router  `json:"router"`
	URL    string        `json:"url,omitempty"`
	Status *RouterStatus `json:"status,omitempty"`
	Error  string        `json:"error,omitempty"`
}

// FleetStatus is the status of every router that the answering one knows, in
// order of their names.
type FleetStatus struct {
	Routers []RouterReport `json:"routers"`
}

// DrainResult answers a request to drain.
type DrainResult struct {
	Router   state.Router `json:"router"`
	Draining bool         `json:"draining"`
}
