package admin_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/figstile/figstile/standin/platform"
	"github.com/figstile/figstile/state"
	"github.com/figstile/figstile/state/config"
	"github.com/figstile/figstile/state/result"
	"github.com/figstile/figstile/transport/admin"
	"github.com/figstile/figstile/transport/objectstore"
	"github.com/figstile/figstile/transport/settings"
)

// fakeStore is the object API of the stand-in platform, which tests can make
// unavailable.
type fakeStore struct {
	*platform.Store
	unavailable atomic.Bool
	// objectsLost makes Get answer as if no object had ever been written.
	objectsLost atomic.Bool
}

func (f *fakeStore) Get(ctx context.Context, key string) (objectstore.Object, error) {
	if f.unavailable.Load() {
		return objectstore.Object{}, objectstore.ErrUnavailable
	}
	if f.objectsLost.Load() {
		return objectstore.Object{}, objectstore.ErrNotFound
	}
	return f.Store.Get(ctx, key)
}

func (f *fakeStore) List(ctx context.Context, prefix string) ([]objectstore.Object, objectstore.Version, error) {
	if f.unavailable.Load() {
		return nil, 0, objectstore.ErrUnavailable
	}
	return f.Store.List(ctx, prefix)
}

// testRouter serves the API on a loopback address.
type testRouter struct {
	t      *testing.T
	name   state.Router
	url    string
	store  *fakeStore
	source *settings.Source
	peers  []admin.Peer
	drains atomic.Int32
}

func (r *testRouter) Status() admin.RouterStatus {
	return admin.RouterStatus{Router: r.name, Ready: true}
}
func (r *testRouter) AdminPeers() []admin.Peer { return r.peers }
func (r *testRouter) Drain()                   { r.drains.Add(1) }

const (
	operatorToken = "operator-token"
	teamToken     = "team-token"
	callerToken   = "caller-token"
	fleetToken    = "fleet-token"
)

func newRouter(t *testing.T, name state.Router, store *fakeStore) *testRouter {
	t.Helper()
	r := &testRouter{t: t, name: name, store: store}
	r.source = settings.NewSource(settings.SourceOptions{Log: zerolog.Nop()})
	writer := settings.NewWriter(settings.WriterOptions{Store: store, Source: r.source, Log: zerolog.Nop()})
	handler := admin.New(admin.Options{
		Source: r.source, Writer: writer, Status: r, Drain: r, Peers: r, FleetToken: fleetToken, Log: zerolog.Nop(),
		BootstrapDigests: []config.Digest{config.DigestOf("bootstrap")},
		Now:              func() time.Time { return time.Unix(1_700_000_000, 0) },
	})
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	r.url = server.URL
	return r
}

func newStore() *fakeStore {
	return &fakeStore{Store: platform.NewStore(platform.StoreOptions{})}
}

// request sends a request, checks the status of the answer and decodes its
// body.
func (r *testRouter) request(token, method, path string, body any, header map[string]string, status int, into any) {
	r.t.Helper()
	data, ok := body.([]byte)
	if !ok && body != nil {
		var err error
		data, err = json.Marshal(body)
		require.NoError(r.t, err)
	}
	request, err := http.NewRequest(method, r.url+admin.Prefix+path, bytes.NewReader(data))
	require.NoError(r.t, err)
	request.Header.Set("Authorization", "Bearer "+token)
	for name, value := range header {
		request.Header.Set(name, value)
	}
	response, err := http.DefaultClient.Do(request)
	require.NoError(r.t, err)
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	require.NoError(r.t, err)
	require.Equal(r.t, status, response.StatusCode, "%s %s: %s", method, path, answer)
	if into != nil {
		require.NoError(r.t, json.Unmarshal(answer, into))
	}
}

// requireRefused sends a request that must be refused with the given code.
func (r *testRouter) requireRefused(token, method, path string, body any, header map[string]string, code result.Code) admin.Problem {
	r.t.Helper()
	var p admin.Problem
	r.request(token, method, path, body, header, result.Lookup(code).Status, &p)
	require.Equal(r.t, int(code), p.Code, "%+v", p)
	require.Equal(r.t, result.Lookup(code).Ran.String(), p.Ran)
	return p
}

func testRoot() config.Root {
	return config.Root{
		OperatorTokens: []string{config.DigestOf(operatorToken).String()},
		Teams: []config.TeamShare{
			{Name: "turismo", Share: 3, Tokens: []string{config.DigestOf(teamToken).String()}},
			{Name: "reservas", Share: 1},
		},
		Services: []config.Service{{Name: "drafts", Kind: config.KindEngine, Upstreams: []config.Upstream{
			{Name: "engine-1", URL: "http://127.0.0.1:1", DataCentre: "sala-laredo"},
		}}},
	}
}

// newReadyRouter returns a router of a fleet with a root and one workspace.
func newReadyRouter(t *testing.T) *testRouter {
	t.Helper()
	r := newRouter(t, "router-1", newStore())
	r.request("bootstrap", http.MethodPut, "/config/root", testRoot(), map[string]string{"If-None-Match": "*"}, http.StatusOK, nil)
	guides := config.Workspace{Name: "guides", Weight: 1, Tokens: []string{config.DigestOf(callerToken).String()}}
	r.request(teamToken, http.MethodPost, "/teams/turismo/workspaces", guides, nil, http.StatusOK, nil)
	return r
}

func TestBootstrapEndsWithTheFirstRoot(t *testing.T) {
	r := newRouter(t, "router-1", newStore())
	r.requireRefused(operatorToken, http.MethodGet, "/config", nil, nil, result.NotReady)
	locked := testRoot()
	locked.OperatorTokens = nil
	create := map[string]string{"If-None-Match": "*"}
	p := r.requireRefused("bootstrap", http.MethodPut, "/config/root", locked, create, result.ConfigInvalid)
	require.Equal(t, "operator_tokens", p.Faults[0].Path)
	r.request("bootstrap", http.MethodPut, "/config/root", testRoot(), create, http.StatusOK, nil)
	r.requireRefused("bootstrap", http.MethodGet, "/config", nil, nil, result.Unauthorized)
	r.request(operatorToken, http.MethodGet, "/config", nil, nil, http.StatusOK, nil)
}

// TestTeamReachesOnlyItsSubtree covers a team's administrator who tries to
// enlarge the team's share, to change another team, or to stop a router. All of
// these are at the cost of other teams and must be refused.
func TestTeamReachesOnlyItsSubtree(t *testing.T) {
	r := newReadyRouter(t)
	for _, c := range []struct {
		method, path string
		body         any
	}{
		{http.MethodPut, "/teams/turismo/share", admin.SetShare{Share: 100}},
		{http.MethodPut, "/config/root", testRoot()},
		{http.MethodGet, "/config/root", nil},
		{http.MethodGet, "/history/root", nil},
		{http.MethodGet, "/config/teams/reservas", nil},
		{http.MethodPut, "/config/teams/reservas", config.Subtree{Team: "reservas"}},
		{http.MethodPost, "/teams/reservas/workspaces", config.Workspace{Name: "x", Weight: 1}},
		{http.MethodDelete, "/teams/turismo", nil},
		{http.MethodPost, "/upstreams/engine-1/drain", nil},
		{http.MethodGet, "/status", nil},
		{http.MethodGet, "/fleet", nil},
		{http.MethodPost, "/drain", nil},
	} {
		r.requireRefused(teamToken, c.method, c.path, c.body, nil, result.ConfigOutside)
		r.requireRefused(callerToken, c.method, c.path, c.body, nil, result.ConfigOutside)
		r.requireRefused("nobody", c.method, c.path, c.body, nil, result.Unauthorized)
	}
	deletedTeam := config.Subtree{Team: "turismo", Deleted: true}
	r.requireRefused(teamToken, http.MethodPut, "/config/teams/turismo", deletedTeam, map[string]string{"If-Match": `"2"`}, result.ConfigOutside)
	require.Zero(t, r.drains.Load())

	var list admin.ObjectList
	r.request(teamToken, http.MethodGet, "/config", nil, nil, http.StatusOK, &list)
	require.Len(t, list.Objects, 1)
	require.Equal(t, "team/turismo/"+config.DigestOf(teamToken).Short(), list.Objects[0].Change.By)
	var teams admin.TeamList
	r.request(teamToken, http.MethodGet, "/teams", nil, nil, http.StatusOK, &teams)
	require.Len(t, teams.Teams, 1)
}

// TestConflictShowsTheWinner has two operators change the same version. The
// second must be shown the winner and its change, and the second change must
// not be in force.
func TestConflictShowsTheWinner(t *testing.T) {
	r := newReadyRouter(t)
	ifMatch := map[string]string{"If-Match": `"2"`}
	r.request(teamToken, http.MethodPut, "/teams/turismo/workspaces/guides/weight", admin.SetWeight{Weight: 2}, ifMatch, http.StatusOK, nil)
	p := r.requireRefused(operatorToken, http.MethodPut, "/teams/turismo/workspaces/guides/weight", admin.SetWeight{Weight: 9}, ifMatch, result.ConfigConflict)
	require.Equal(t, uint64(3), p.Conflict.Version)
	require.Contains(t, p.Conflict.Winner.By, "team/turismo/")
	require.Equal(t, "set weight of workspace guides to 2", p.Conflict.Winner.Summary)
	var list admin.WorkspaceList
	r.request(operatorToken, http.MethodGet, "/workspaces", nil, nil, http.StatusOK, &list)
	require.InDelta(t, 2, list.Workspaces[0].Weight, 0)
	require.InDelta(t, 1, list.Workspaces[0].Share, 0)
}

// TestRepeatedChangeIsNotDoneTwice repeats a change with the same change ID
// after its answer was lost and another operator has changed the same
// workspace. The repeated change must not overwrite the later one.
func TestRepeatedChangeIsNotDoneTwice(t *testing.T) {
	r := newReadyRouter(t)
	path := "/teams/turismo/workspaces/guides/weight"
	sameChangeID := map[string]string{admin.HeaderChangeID: "0123456789abcdef"}
	var first, again admin.WriteResult
	r.request(operatorToken, http.MethodPut, path, admin.SetWeight{Weight: 2}, sameChangeID, http.StatusOK, &first)
	r.request(operatorToken, http.MethodPut, path, admin.SetWeight{Weight: 3}, nil, http.StatusOK, nil)
	r.request(operatorToken, http.MethodPut, path, admin.SetWeight{Weight: 2}, sameChangeID, http.StatusOK, &again)
	require.Equal(t, first, again)
	r.requireRefused(operatorToken, http.MethodPut, path, admin.SetWeight{Weight: 4}, sameChangeID, result.BadRequest)
	subtree, _ := r.source.View().Subtree("turismo")
	require.InDelta(t, 3, subtree.Workspaces[0].Weight, 0)
}

// TestPlatformUnavailable covers an outage of the platform. Operators can still
// read the settings in force, and a change is refused with the statement that
// nothing was changed.
func TestPlatformUnavailable(t *testing.T) {
	r := newReadyRouter(t)
	r.store.unavailable.Store(true)
	var doc admin.ObjectDocument
	r.request(operatorToken, http.MethodGet, "/config/teams/turismo", nil, nil, http.StatusOK, &doc)
	require.Equal(t, admin.FromRouter, doc.Source)
	require.Equal(t, uint64(2), doc.Version)
	p := r.requireRefused(operatorToken, http.MethodPut, "/teams/reservas/share", admin.SetShare{Share: 2}, nil, result.PlatformUnavailable)
	require.Equal(t, "no", p.Ran)
}

// TestNoEditOfALostObject covers a team's object that the platform has lost
// while the routers still have their copies. Adding a workspace would start
// from an empty object and remove all other workspaces of the team, so it must
// be refused.
func TestNoEditOfALostObject(t *testing.T) {
	r := newReadyRouter(t)
	r.store.objectsLost.Store(true)
	extra := config.Workspace{Name: "extra", Weight: 1}
	p := r.requireRefused(teamToken, http.MethodPost, "/teams/turismo/workspaces", extra, nil, result.ConfigInvalid)
	require.Contains(t, p.Detail, "in force at version 2")
	var doc admin.ObjectDocument
	r.request(teamToken, http.MethodGet, "/config/teams/turismo", nil, nil, http.StatusOK, &doc)
	require.Equal(t, admin.FromRouter, doc.Source)
	require.Contains(t, string(doc.Value), "guides")
}

func TestEditsLeaveHistory(t *testing.T) {
	r := newReadyRouter(t)
	digest := config.DigestOf("another").String()
	r.request(operatorToken, http.MethodPost, "/teams", admin.CreateTeam{Name: "nueva", Share: 2}, nil, http.StatusOK, nil)
	r.request(operatorToken, http.MethodPost, "/teams/nueva/tokens", admin.AddToken{Digest: digest}, nil, http.StatusOK, nil)
	r.request(operatorToken, http.MethodPost, "/upstreams/engine-1/drain", nil, nil, http.StatusOK, nil)
	var again admin.WriteResult
	r.request(operatorToken, http.MethodPost, "/upstreams/engine-1/drain", nil, nil, http.StatusOK, &again)
	require.True(t, again.Unchanged)
	r.request(operatorToken, http.MethodDelete, "/teams/nueva/tokens/"+digest, nil, nil, http.StatusOK, nil)
	r.request(operatorToken, http.MethodDelete, "/teams/nueva", nil, nil, http.StatusOK, nil)
	p := r.requireRefused(operatorToken, http.MethodDelete, "/teams/turismo", nil, nil, result.ConfigInvalid)
	require.Equal(t, "workspaces", p.Faults[0].Path)
	r.request(operatorToken, http.MethodDelete, "/teams/turismo?force=true", nil, nil, http.StatusOK, nil)
	_, exists := r.source.View().Subtree("turismo")
	require.False(t, exists)

	var history admin.HistoryDocument
	r.request(operatorToken, http.MethodGet, "/history/root", nil, nil, http.StatusOK, &history)
	var summaries []string
	for i, c := range history.Changes {
		summaries = append(summaries, c.Summary)
		if i > 0 {
			require.Equal(t, history.Changes[i-1].Base, c.Version)
		}
	}
	require.Equal(t, []string{
		"deleted team turismo", "deleted team nueva", "removed token " + digest[:8] + " of team nueva", "drained upstream engine-1",
		"added token " + digest[:8] + " of team nueva", "created team nueva with share 2", "replaced as a whole",
	}, summaries)
}

func TestDryRunAndBadRequests(t *testing.T) {
	r := newReadyRouter(t)
	version := r.store.Version()
	match := map[string]string{"If-Match": `"1"`}
	var done admin.WriteResult
	changed := testRoot()
	changed.Teams[0].Share = 5
	r.request(operatorToken, http.MethodPut, "/config/root?dry_run=true", changed, match, http.StatusOK, &done)
	require.True(t, done.DryRun)
	changed.Teams = changed.Teams[1:]
	p := r.requireRefused(operatorToken, http.MethodPut, "/config/root?dry_run=true", changed, match, result.ConfigInvalid)
	require.Equal(t, "config/teams/turismo#team", p.Faults[0].Path)
	r.requireRefused(operatorToken, http.MethodPut, "/config/root", changed, nil, result.BadRequest)
	r.requireRefused(operatorToken, http.MethodPut, "/config/root", []byte("{"), match, result.ConfigInvalid)
	r.requireRefused(operatorToken, http.MethodPut, "/config/root", bytes.Repeat([]byte(" "), config.MaxObjectBytes+1), match, result.BodyTooLarge)
	r.requireRefused(operatorToken, http.MethodPost, "/teams", []byte(`{"nam": "x"}`), nil, result.BadRequest)
	r.requireRefused(operatorToken, http.MethodGet, "/config/other", nil, nil, result.NotFound)
	r.requireRefused(operatorToken, http.MethodPost, "/upstreams/none/drain", nil, nil, result.NotFound)
	r.requireRefused(operatorToken, http.MethodPatch, "/config/root", nil, nil, result.NotFound)
	require.Equal(t, version, r.store.Version())
}

// TestEmptyFleetTokenGrantsNoAccess covers a fleet without a fleet token:
// requests without a token must not be able to read its status.
func TestEmptyFleetTokenGrantsNoAccess(t *testing.T) {
	r := newReadyRouter(t)
	r.request(fleetToken, http.MethodGet, "/status", nil, nil, http.StatusOK, nil)
	handler := admin.New(admin.Options{Source: r.source, Status: r, Log: zerolog.Nop()})
	answer := httptest.NewRecorder()
	handler.ServeHTTP(answer, httptest.NewRequest(http.MethodGet, admin.Prefix+"/status", nil))
	require.Equal(t, http.StatusUnauthorized, answer.Code)
}

// TestFleetStatusInAPartition covers a fleet in which one of three routers is
// cut off. The status must show the other two with their versions and the
// reason for the third, instead of failing as a whole.
func TestFleetStatusInAPartition(t *testing.T) {
	r := newReadyRouter(t)
	second := newRouter(t, "router-2", r.store)
	stopped := httptest.NewServer(http.NotFoundHandler())
	stopped.Close()
	r.peers = []admin.Peer{{Router: "router-3", URL: stopped.URL}, {Router: "router-2", URL: second.url}}
	var fleet admin.FleetStatus
	r.request(operatorToken, http.MethodGet, "/fleet", nil, nil, http.StatusOK, &fleet)
	require.Len(t, fleet.Routers, 3)
	for i, report := range fleet.Routers {
		require.Equal(t, state.Router(fmt.Sprintf("router-%d", i+1)), report.Router)
	}
	require.Len(t, fleet.Routers[0].Status.Config, 2)
	require.Empty(t, fleet.Routers[1].Status.Config, "router-2 has not followed the platform yet")
	require.NotEmpty(t, fleet.Routers[2].Error)
	r.request(operatorToken, http.MethodPost, "/drain", nil, nil, http.StatusAccepted, nil)
	require.Equal(t, int32(1), r.drains.Load())
}
