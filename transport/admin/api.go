package admin

import (
	"encoding/json"
	"time"

	"github.com/figstile/figstile/state"
	"github.com/figstile/figstile/state/config"
)

// Prefix is the path under which the API is served.
const Prefix = "/admin/v1"

// HeaderChangeID is the header with which a client chooses the ID of its
// change. If a client repeats a write with the same ID after a lost answer, the
// change is made only once.
const HeaderChangeID = "Figstile-Change-Id"

// These are the values of Source in documents.
const (
	// FromPlatform marks the platform's current version.
	FromPlatform = "platform"
	// FromRouter marks the version in force on the answering router, which is
	// shown while the platform is unavailable or has lost the object.
	FromRouter = "router"
)

// ObjectDocument is one object of the settings tree.
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
	// Change is the change that produced the version.
	Change *config.Change `json:"change,omitempty"`
}

// RefusedVersion is a version of an object that a router received but refused
// as invalid.
type RefusedVersion struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
	Reason  string `json:"reason"`
}

// ObjectList lists the versions in force and the refused ones.
type ObjectList struct {
	Objects []ObjectVersion  `json:"objects"`
	Refused []RefusedVersion `json:"refused,omitempty"`
}

// ChangeRecord is a change with the version that it produced.
type ChangeRecord struct {
	config.Change
	Version uint64 `json:"version"`
}

// HistoryDocument lists an object's last changes, newest first.
type HistoryDocument struct {
	Key     string         `json:"key"`
	Version uint64         `json:"version"`
	Source  string         `json:"source"`
	Changes []ChangeRecord `json:"changes"`
}

// WriteResult describes the result of a change.
type WriteResult struct {
	Key      string `json:"key"`
	Version  uint64 `json:"version"`
	ChangeID string `json:"change_id,omitempty"`
	// Unchanged is set if the object already had the wanted content.
	Unchanged bool `json:"unchanged,omitempty"`
	// DryRun is set if the change was only checked.
	DryRun bool `json:"dry_run,omitempty"`
}

// Problem is the body of a refusal, in the format of RFC 9457.
type Problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail"`
	Code   int    `json:"code"`
	Ran    string `json:"ran"`
	// Faults lists the errors in the settings.
	Faults []config.Fault `json:"faults,omitempty"`
	// Conflict describes the version that was written first, if there was a
	// conflict.
	Conflict *Conflict `json:"conflict,omitempty"`
	// ChangeID is the ID of the change whose outcome is unknown.
	ChangeID string `json:"change_id,omitempty"`
}

// Conflict describes the version that a write found instead of the expected
// one.
type Conflict struct {
	Key      string `json:"key"`
	Expected uint64 `json:"expected"`
	Version  uint64 `json:"version"`
	// Winner is the change that produced the version, unless it could not be
	// read.
	Winner *config.Change `json:"winner,omitempty"`
}

// TeamDocument is one team, as described by the root and the team's subtree.
type TeamDocument struct {
	Name       state.Team      `json:"name"`
	Share      float64         `json:"share"`
	Services   []state.Service `json:"services,omitempty"`
	Tokens     int             `json:"tokens"`
	Workspaces int             `json:"workspaces"`
}

// TeamList lists teams in the order of their names.
type TeamList struct {
	Teams []TeamDocument `json:"teams"`
}

// CreateTeam is the body of a request that adds a team to the root.
type CreateTeam struct {
	Name     state.Team      `json:"name"`
	Share    float64         `json:"share"`
	Tokens   []string        `json:"tokens,omitempty"`
	Services []state.Service `json:"services,omitempty"`
}

// SetShare is the body of a request that changes a team's share.
type SetShare struct {
	Share float64 `json:"share"`
}

// WorkspaceDocument is one workspace with its team and its resulting share.
type WorkspaceDocument struct {
	config.Workspace
	Team state.Team `json:"team"`
	// Share is the workspace's share of the whole fleet.
	Share float64 `json:"share"`
}

// WorkspaceList lists workspaces in the order of their names.
type WorkspaceList struct {
	Workspaces []WorkspaceDocument `json:"workspaces"`
}

// SetWeight is the body of a request that changes a workspace's weight.
type SetWeight struct {
	Weight float64 `json:"weight"`
}

// AddToken is the body of a request that adds a token by its digest. The token
// itself never leaves the client.
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

// RouterStatus is the status that a router reports of itself.
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

// UpstreamStatus is one upstream as a router sees it.
type UpstreamStatus struct {
	Upstream   state.Upstream   `json:"upstream"`
	Service    state.Service    `json:"service"`
	DataCentre state.DataCentre `json:"data_centre"`
	// Owner is the router that grants the upstream's slots, as this router sees
	// it.
	Owner state.Router `json:"owner,omitempty"`
	// Running counts this router's requests that run on the upstream.
	Running int `json:"running"`
	Slots   int `json:"slots"`
	// Usable is set if new requests may be dispatched to the upstream.
	Usable   bool `json:"usable"`
	Draining bool `json:"draining,omitempty"`
	// ReportAgeMillis is the age in milliseconds of the last load report;
	// negative if there is none.
	ReportAgeMillis int64 `json:"report_age_ms"`
}

// WorkspaceStatus describes a workspace's requests to one service at one
// router.
type WorkspaceStatus struct {
	Service      state.Service   `json:"service"`
	Workspace    state.Workspace `json:"workspace"`
	Waiting      int             `json:"waiting"`
	WaitingBytes int64           `json:"waiting_bytes"`
	Running      int             `json:"running"`
	// Served is the cost that was charged by this incarnation of the router.
	Served state.Cost `json:"served"`
}

// ServiceStatus is one service as a router sees it.
type ServiceStatus struct {
	Service state.Service `json:"service"`
	// Gap is the fairness gap between workspaces with waiting requests.
	Gap state.Cost `json:"gap"`
}

// RouterReport is the status of one router of the fleet, or the error if it
// could not be read.
type RouterReport struct {
	Router state.Router  `json:"router"`
	URL    string        `json:"url,omitempty"`
	Status *RouterStatus `json:"status,omitempty"`
	Error  string        `json:"error,omitempty"`
}

// FleetStatus contains a report for every router known to the answering router,
// in the order of their names.
type FleetStatus struct {
	Routers []RouterReport `json:"routers"`
}

// DrainResult is the answer to a request to drain.
type DrainResult struct {
	Router   state.Router `json:"router"`
	Draining bool         `json:"draining"`
}
