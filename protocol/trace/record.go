package trace

import (
	"encoding/json"
	"time"

	"github.com/figstile/figstile/coordination/scheduler"
	"github.com/figstile/figstile/state"
	"github.com/figstile/figstile/state/result"
)

// Kind names the type of a line.
type Kind string

// The kinds of lines.
const (
	KindStep     Kind = "step"
	KindCaller   Kind = "caller"
	KindUpstream Kind = "upstream"
	KindLeaving  Kind = "leaving"
	KindConfig   Kind = "config"
)

// Record is one line of a trace.
type Record interface{ kind() Kind }

// StepRecord is one step of a router's scheduler.
type StepRecord struct {
	Router      state.Router      `json:"router"`
	Incarnation state.Incarnation `json:"incarnation"`
	// Sequence counts the steps of an incarnation from 1. A gap is a step
	// that was not recorded.
	Sequence uint64    `json:"sequence"`
	Time     time.Time `json:"time"`
	Event    Event     `json:"event"`
	Actions  []Action  `json:"actions"`
}

// Event is a scheduler event that carries its type's name in JSON.
type Event struct{ scheduler.Event }

// Action is a scheduler action that carries its type's name in JSON.
type Action struct{ scheduler.Action }

// CallerRecord is what one caller sent and was told in the end.
type CallerRecord struct {
	// Router that the caller sent to, and the ID of the request there, if the
	// caller was told one.
	Router    state.Router    `json:"router"`
	ID        state.RequestID `json:"id,omitempty"`
	Workspace state.Workspace `json:"workspace"`
	Service   state.Service   `json:"service"`
	// Key is the idempotency key, if any.
	Key string `json:"key,omitempty"`
	// Repeatable says that running the request twice does no harm.
	Repeatable bool        `json:"repeatable,omitempty"`
	Sent       time.Time   `json:"sent"`
	Result     result.Code `json:"result"`
	Ran        result.Ran  `json:"ran"`
	// BodyDigest identifies the request: bodies of different requests differ.
	BodyDigest   string `json:"body_digest"`
	AnswerDigest string `json:"answer_digest,omitempty"`
	// AnswerWhole says that the answer ended cleanly.
	AnswerWhole bool `json:"answer_whole,omitempty"`
}

// UpstreamRecord is one run of a request on an upstream, as the upstream saw
// it.
type UpstreamRecord struct {
	Upstream  state.Upstream  `json:"upstream"`
	Boot      string          `json:"boot,omitempty"`
	Attempt   state.AttemptID `json:"attempt"`
	Workspace state.Workspace `json:"workspace,omitempty"`
	Service   state.Service   `json:"service,omitempty"`
	Key       string          `json:"key,omitempty"`
	// BodyDigest is that of the request received.
	BodyDigest   string    `json:"body_digest"`
	AnswerDigest string    `json:"answer_digest,omitempty"`
	Received     time.Time `json:"received,omitzero"`
	Started      time.Time `json:"started"`
	// Finished is zero if the run did not end by itself.
	Finished time.Time `json:"finished,omitzero"`
}

// LeavingRecord is the first announcement that an upstream leaves.
type LeavingRecord struct {
	Upstream state.Upstream `json:"upstream"`
	// Boot is the run of the upstream that leaves; empty means any.
	Boot string    `json:"boot,omitempty"`
	At   time.Time `json:"at"`
}

// ConfigRecord says that a version of a configuration object came into force
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

// line puts the kind in front of a record.
type line struct {
	Kind   Kind            `json:"kind"`
	Record json.RawMessage `json:"record"`
}
