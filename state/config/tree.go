package config

import (
	"time"

	"github.com/figstile/figstile/state"
)

// ServiceKind is the kind of upstreams of a service.
type ServiceKind string

// The kinds of services.
const (
	KindEngine ServiceKind = "engine"
	KindWorker ServiceKind = "worker"
)

// Root is the operators' object. Only operators may write it.
type Root struct {
	Teams    []TeamShare `json:"teams"`
	Services []Service   `json:"services"`
	// OperatorTokens are the SHA-256 digests of bearer tokens, in hex.
	OperatorTokens []string `json:"operator_tokens"`
	// ChangeID identifies the write that produced this version. A writer whose
	// answer was lost recognises its own change by it.
	ChangeID string `json:"change_id,omitempty"`
	// History lists the latest changes, oldest first.
	History []Change `json:"history,omitempty"`
}

// TeamShare is the share of every service that a team may use when all teams
// have more requests than the service can run.
type TeamShare struct {
	Name  state.Team `json:"name"`
	Share float64    `json:"share"`
	// Tokens are the SHA-256 digests of the team's administration tokens, in
	// hex.
	Tokens []string `json:"tokens"`
	// Services lists the services that the team's workspaces may use; empty
	// means all.
	Services []state.Service `json:"services,omitempty"`
}

// Service describes a group of upstreams.
type Service struct {
	Name   state.Service `json:"name"`
	Kind   ServiceKind   `json:"kind"`
	Models []state.Model `json:"models,omitempty"`
	// Repeatable is set if a request without an idempotency key may be run
	// twice without harm.
	Repeatable bool        `json:"repeatable"`
	Cost       CostWeights `json:"cost"`
	Limits     Limits      `json:"limits"`
	Upstreams  []Upstream  `json:"upstreams"`
}

// CostWeights holds the prices that convert usage into cost units.
type CostWeights struct {
	InputToken  float64 `json:"input_token,omitempty"`
	OutputToken float64 `json:"output_token,omitempty"`
	BusySecond  float64 `json:"busy_second,omitempty"`
}

// Limits bounds the requests and answers of one service. Zero means the
// default.
type Limits struct {
	QueueRequests int   `json:"queue_requests,omitempty"`
	QueueBytes    int64 `json:"queue_bytes,omitempty"`
	BodyBytes     int64 `json:"body_bytes,omitempty"`
	AnswerBytes   int64 `json:"answer_bytes,omitempty"`
	// DeadlineMillis applies to requests without a deadline of their own.
	DeadlineMillis int64 `json:"deadline_ms,omitempty"`
}

// Deadline returns the default deadline as a duration.
func (l Limits) Deadline() time.Duration {
	return time.Duration(l.DeadlineMillis) * time.Millisecond
}

// Upstream is one engine or application worker.
type Upstream struct {
	Name       state.Upstream   `json:"name"`
	URL        string           `json:"url"`
	DataCentre state.DataCentre `json:"data_centre"`
	// Slots bounds the number of concurrent requests; zero means the number in
	// the load report.
	Slots int `json:"slots,omitempty"`
	// Draining takes the upstream out of use for planned work.
	Draining bool `json:"draining,omitempty"`
	// ChecksFencing is set if the upstream rejects orders with an old fencing
	// number.
	ChecksFencing bool `json:"checks_fencing,omitempty"`
	// WantedModels lists the model versions that the engine should load,
	// without any others; empty leaves the engine unchanged.
	WantedModels []state.Model `json:"wanted_models,omitempty"`
}

// Subtree is the object of one team. Only that team and operators may write it.
type Subtree struct {
	Team       state.Team  `json:"team"`
	Workspaces []Workspace `json:"workspaces"`
	ChangeID   string      `json:"change_id,omitempty"`
	// History lists the latest changes, oldest first.
	History []Change `json:"history,omitempty"`
	// Deleted marks a tombstone, which keeps a stale copy from restoring a
	// deleted team.
	Deleted bool `json:"deleted,omitempty"`
}

// Workspace is one tenant of a team.
type Workspace struct {
	Name state.Workspace `json:"name"`
	// Weight determines the workspace's part of the team's share.
	Weight float64 `json:"weight"`
	// Tokens are the SHA-256 digests of callers' bearer tokens, in hex.
	Tokens   []string        `json:"tokens"`
	Services []state.Service `json:"services,omitempty"`
	Models   []state.Model   `json:"models,omitempty"`
}
