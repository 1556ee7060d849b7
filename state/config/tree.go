package config

import (
	"time"

	"github.com/figstile/figstile/state"
)

// ServiceKind tells what stands behind a service.
type ServiceKind string

// The kinds of service.
const (
	KindEngine ServiceKind = "engine"
	KindWorker ServiceKind = "worker"
)

// Root is the operators' object. Only operators may write it.
type Root struct {
	Teams    []TeamShare `json:"teams"`
	Services []Service   `json:"services"`
	// OperatorTokens are hex SHA-256 digests of bearer tokens.
	OperatorTokens []string `json:"operator_tokens"`
	// ChangeID identifies the write that produced this version, so that a
	// writer whose answer was lost can recognise its own change.
	ChangeID string `json:"change_id,omitempty"`
	// History holds the last changes, oldest first.
	History []Change `json:"history,omitempty"`
}

// TeamShare is the part of every service that a team may have when all teams
// want more.
type TeamShare struct {
	Name  state.Team `json:"name"`
	Share float64    `json:"share"`
	// Tokens are hex SHA-256 digests of the team's administration tokens.
	Tokens []string `json:"tokens"`
	// Services lists what the team's workspaces may reach; empty means all.
	Services []state.Service `json:"services,omitempty"`
}

// Service describes a group of upstreams.
type Service struct {
	Name   state.Service `json:"name"`
	Kind   ServiceKind   `json:"kind"`
	Models []state.Model `json:"models,omitempty"`
	// Repeatable says that a request without an idempotency key may be run
	// twice without harm.
	Repeatable bool        `json:"repeatable"`
	Cost       CostWeights `json:"cost"`
	Limits     Limits      `json:"limits"`
	Upstreams  []Upstream  `json:"upstreams"`
}

// CostWeights turn usage into cost units.
type CostWeights struct {
	InputToken  float64 `json:"input_token,omitempty"`
	OutputToken float64 `json:"output_token,omitempty"`
	BusySecond  float64 `json:"busy_second,omitempty"`
}

// Limits bound what one service takes. Zero means the default.
type Limits struct {
	QueueRequests int   `json:"queue_requests,omitempty"`
	QueueBytes    int64 `json:"queue_bytes,omitempty"`
	BodyBytes     int64 `json:"body_bytes,omitempty"`
	AnswerBytes   int64 `json:"answer_bytes,omitempty"`
	// DeadlineMillis applies to requests that bring no deadline of their own.
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
	// Slots bounds concurrent requests; zero takes the load report's figure.
	Slots int `json:"slots,omitempty"`
	// Draining takes the upstream out of use for planned work.
	Draining bool `json:"draining,omitempty"`
	// ChecksFencing says that the upstream refuses orders with an old
	// fencing number.
	ChecksFencing bool `json:"checks_fencing,omitempty"`
	// WantedModels lists the model versions that the engine shall hold, and
	// no others; empty leaves the engine as it is.
	WantedModels []state.Model `json:"wanted_models,omitempty"`
}

// Subtree is one team's object. Only that team and operators may write it.
type Subtree struct {
	Team       state.Team  `json:"team"`
	Workspaces []Workspace `json:"workspaces"`
	ChangeID   string      `json:"change_id,omitempty"`
	// History holds the last changes, oldest first.
	History []Change `json:"history,omitempty"`
	// Deleted marks a tombstone, so that a deleted team cannot come back
	// from a stale copy.
	Deleted bool `json:"deleted,omitempty"`
}

// Workspace is one tenant of a team.
type Workspace struct {
	Name state.Workspace `json:"name"`
	// Weight divides the team's share among its workspaces.
	Weight float64 `json:"weight"`
	// Tokens are hex SHA-256 digests of callers' bearer tokens.
	Tokens   []string        `json:"tokens"`
	Services []state.Service `json:"services,omitempty"`
	Models   []state.Model   `json:"models,omitempty"`
}
