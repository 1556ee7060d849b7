package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/figstile/figstile/state"
	"github.com/figstile/figstile/state/config"
)

// TestEngineWithoutModelsGetsNoWork covers an engine that has restarted with
// nothing in memory and reports no models. A request sent to it would fail at
// once, so it must wait until the model is loaded again.
func TestEngineWithoutModelsGetsNoWork(t *testing.T) {
	now := time.Unix(1000, 0)
	self := Peer{Router: "a", DataCentre: "x", Incarnation: 1}
	s := New(Options{Self: self})
	s.Step(now, PeersChanged{Peers: []Peer{self}})
	s.Step(now, Configured{Settings: config.Settings{
		Services: []config.Service{{
			Name: "drafts", Kind: config.KindEngine, Models: []state.Model{"guide:v1"},
			Upstreams: []config.Upstream{{Name: "u", DataCentre: "x"}},
		}},
		Workspaces: []config.WorkspaceSettings{{Name: "w", Share: 1}},
	}})
	report := state.LoadReport{Upstream: "u", Boot: "2", Slots: 4}
	s.Step(now, Reported{Report: report})
	for id, model := range []state.Model{"guide:v1", ""} {
		request := Request{ID: state.RequestID(id + 1), Service: "drafts", Workspace: "w", Model: model}
		require.Empty(t, dispatches(s.Step(now, Arrived{Request: request})))
	}
	report.Models = []state.Model{"guide:v1"}
	require.Len(t, dispatches(s.Step(now, Reported{Report: report})), 2)
}

func dispatches(actions []Action) (found []Dispatch) {
	for _, a := range actions {
		if d, ok := a.(Dispatch); ok {
			found = append(found, d)
		}
	}
	return found
}
