package trace

import (
	"encoding/json"
	"time"

	"github.com/figstile/figstile/coordination/scheduler"
	"github.com/figstile/figstile/state"
	"github.com/figstile/figstile/state/result"
)

// Kind is the kind of a line.
type Kind string

// The kinds of lines.
const (
	KindStep     Kind = "step"
	KindCaller   Kind = "caller"
	KindUpstream Kind = "upstream"
	KindLeaving  Kind = "leaving"
	KindConfig   Kind = "config"
)

// Record is the content of one line of a trace.
type Record interface{ kind() Kind }

// StepRecord records one step of a router's scheduler.
type StepRecord struct {
	Router      state.Router      `json:"router"`
	Incarnation state.Incarnation `json:"incarnation"`
	// Sequence counts the steps of an incarnation from 1. A gap means that
	// steps were not recorded.
	Sequence uint64    `json:"sequence"`
	Time     time.Time `json:"time"`
	Event    Event     `json:"event"`
	Actions  []Action  `json:"actions"`
}

// Event is a scheduler event whose JSON form includes the name of its type.
type Event struct{ scheduler.Event }

// Action is a scheduler action whose JSON form includes the name of its type.
type Action struct{ scheduler.Action }

// CallerRecord records a request that a caller sent and the final answer.
type CallerRecord struct {
	// Router is the router to which the caller sent the request. ID is the id
	// of the request on that router, if the answer contained it.
	Router    state.Router    `json:"router"`
	ID        state.RequestID `json:"id,omitempty"`
	Workspace state.Workspace `json:"workspace"`
	Service   state.Service   `json:"service"`
	// Key is the idempotency key, if any.
	Key string `json:"key,omitempty"`
	// Repeatable is set if running the request twice does no harm.
	Repeatable bool        `json:"repeatable,omitempty"`
	Sent       time.Time   `json:"sent"`
	Result     result.Code `json:"result"`
	Ran        result.Ran  `json:"ran"`
	// BodyDigest identifies the request. Different requests must have different
	// bodies.
	BodyDigest   string `json:"body_digest"`
	AnswerDigest string `json:"answer_digest,omitempty"`
	// AnswerWhole is set if the answer ended without an error.
	AnswerWhole bool `json:"answer_whole,omitempty"`
}

// UpstreamRecord records one run of a request on an upstream, from the view of
// the upstream.
type UpstreamRecord struct {
	Upstream  state.Upstream  `json:"upstream"`
	Boot      string          `json:"boot,omitempty"`
	Attempt   state.AttemptID `json:"attempt"`
	Workspace state.Workspace `json:"workspace,omitempty"`
	Service   state.Service   `json:"service,omitempty"`
	Key       string          `json:"key,omitempty"`
	// BodyDigest is the digest of the received request's body.
	BodyDigest   string    `json:"body_digest"`
	AnswerDigest string    `json:"answer_digest,omitempty"`
	Received     time.Time `json:"received,omitzero"`
	Started      time.Time `json:"started"`
	// Finished is zero if the run was interrupted.
	Finished time.Time `json:"finished,omitzero"`
}

// LeavingRecord records the first announcement that an upstream is leaving.
type LeavingRecord struct {
	Upstream state.Upstream `json:"upstream"`
	// Boot identifies the run of the upstream that is leaving; empty means any
	// run.
	Boot string    `json:"boot,omitempty"`
	At   time.Time `json:"at"`
}

// ConfigRecord records that a version of a configuration object came into force
// on a router.
type ConfigRecord struct {
	Router      state.Router      `json:"router"`
	Incarnation state.Incarnation `json:"incarnation"`
	Key         string            `json:"key"`
	Version     uint64            `json:"version"`
	At          time.Time         `json:"at"`
}

func (StepRecord) kind() Kind     { return KindStep }
func (CallerRecord) kind() Kind   { return KindCaller }
func (UpstreamRecord) kind() Kind { return KindUpstream }
func (LeavingRecord) kind() Kind  { return KindLeaving }
func (ConfigRecord) kind() Kind   { return KindConfig }

// line is the JSON form of a line: a record with its kind.
type line struct {
	Kind   Kind            `json:"kind"`
	Record json.RawMessage `json:"record"`
}
