package objectstore_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/figstile/figstile/standin/platform"
	"github.com/figstile/figstile/transport/objectstore"
)

// waitTimeout limits waits for conditions; no outcome depends on it.
const waitTimeout = 20 * time.Second

// TestLostAnswerLeavesTheOutcomeUnknown breaks the connection before the answer
// to a write, once after the platform applied the write and once before. The
// client cannot distinguish the two, so it must report an unknown outcome;
// reading the object shows which it was.
func TestLostAnswerLeavesTheOutcomeUnknown(t *testing.T) {
	for fault, applied := range map[platform.Faults]bool{{LoseAnswers: 1}: true, {LoseWrites: 1}: false} {
		p, client := startPlatform(t, platform.Options{Faults: fault})
		_, err := client.Put(t.Context(), "a", []byte("change 1"), 0)
		require.ErrorIs(t, err, objectstore.ErrUnknownOutcome)
		require.NotErrorIs(t, err, objectstore.ErrUnavailable)
		_, err = client.Get(t.Context(), "a")
		require.Equal(t, !applied, errors.Is(err, objectstore.ErrNotFound))
		require.Zero(t, p.Faults())
	}
}

// TestHangingPlatform covers a platform that accepts connections but never
// answers, so that the caller gives up. A write may have been applied, so its
// outcome is unknown. A read changes nothing, so it fails as unavailable.
func TestHangingPlatform(t *testing.T) {
	p, client := startPlatform(t, platform.Options{})
	p.SetFaults(platform.Faults{Outage: platform.OutageHang})
	ctx, cancel := context.WithCancel(t.Context())
	errs := make(chan error, 2)
	go func() {
		_, err := client.Put(ctx, "a", nil, 0)
		errs <- err
	}()
	require.Eventually(t, func() bool { return p.Calls().Put == 1 }, waitTimeout, time.Millisecond)
	cancel()
	err := <-errs
	require.ErrorIs(t, err, objectstore.ErrUnknownOutcome)
	require.ErrorIs(t, err, context.Canceled)

	go func() {
		_, err := client.Get(t.Context(), "a")
		errs <- err
	}()
	require.Eventually(t, func() bool { return p.Calls().Get == 1 }, waitTimeout, time.Millisecond)
	p.SetFaults(platform.Faults{})
	require.ErrorIs(t, <-errs, objectstore.ErrUnavailable)
}

// TestRefusedConnectionHasNoEffect covers a platform whose address refuses
// connections. Nothing can have been written.
func TestRefusedConnectionHasNoEffect(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	client := objectstore.NewClient(objectstore.ClientOptions{BaseURL: server.URL})
	server.Close()
	_, err := client.Put(t.Context(), "a", nil, 0)
	require.ErrorIs(t, err, objectstore.ErrUnavailable)
	require.NotErrorIs(t, err, objectstore.ErrUnknownOutcome)
}

// TestCutPooledConnections cuts a connection on which a watch waits and one on
// which a write is about to be sent. The write's outcome is unknown, because it
// had a connection. The transport must not repeat the watch, because all
// routers would do so at that moment.
func TestCutPooledConnections(t *testing.T) {
	p, client := startPlatform(t, platform.Options{})
	_, err := client.VMs(t.Context())
	require.NoError(t, err)
	ended := make(chan error, 1)
	go func() {
		_, _, err := client.Watch(t.Context(), "a", 0)
		ended <- err
	}()
	require.Eventually(t, func() bool { return p.Store().WaitingWatches() == 1 }, waitTimeout, time.Millisecond)
	_, err = client.VMs(t.Context())
	require.NoError(t, err)
	p.SetFaults(platform.Faults{Outage: platform.OutageDrop})
	_, err = client.Put(t.Context(), "a", nil, 0)
	require.ErrorIs(t, err, objectstore.ErrUnknownOutcome)
	require.ErrorIs(t, <-ended, objectstore.ErrUnavailable)
	require.EqualValues(t, 1, p.Calls().Watch)
}

// TestRateLimits covers writes above the rate limit, which are answered with
// 429 and have no effect; once the clock has moved on, writes succeed again. A
// waiting watch uses up one read, however long it waits.
func TestRateLimits(t *testing.T) {
	var now atomic.Int64
	p, client := startPlatform(t, platform.Options{
		Faults: platform.Faults{WritesPerSecond: 2, ReadsPerSecond: 2},
		Now:    func() time.Time { return time.Unix(now.Load(), 0) },
	})
	for _, key := range []string{"a", "b"} {
		_, err := client.Put(t.Context(), key, nil, 0)
		require.NoError(t, err)
	}
	_, err := client.Put(t.Context(), "c", nil, 0)
	require.ErrorIs(t, err, objectstore.ErrUnavailable)
	require.EqualValues(t, 2, p.Store().Version())
	now.Add(1)
	_, err = client.Put(t.Context(), "c", nil, 0)
	require.NoError(t, err)

	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { _, _, _ = client.Watch(ctx, "z", 0) }()
	require.Eventually(t, func() bool { return p.Store().WaitingWatches() == 1 }, waitTimeout, time.Millisecond)
	_, err = client.Get(t.Context(), "a")
	require.NoError(t, err)
	_, err = client.Get(t.Context(), "a")
	require.ErrorIs(t, err, objectstore.ErrUnavailable)
	calls := p.Calls()
	require.EqualValues(t, 1, calls.Watch)
	require.EqualValues(t, 2, calls.Limited)
}

// TestStaleReadsShowTheirVersion covers reads that are answered from an old
// replica. The client returns the old object with its old version, so that its
// users can notice.
func TestStaleReadsShowTheirVersion(t *testing.T) {
	p, client := startPlatform(t, platform.Options{})
	first, err := client.Put(t.Context(), "a", []byte("old"), 0)
	require.NoError(t, err)
	p.SetFaults(platform.Faults{StaleReads: true})
	_, err = client.Put(t.Context(), "a", []byte("new"), first)
	require.NoError(t, err)
	object, err := client.Get(t.Context(), "a")
	require.NoError(t, err)
	require.Equal(t, first, object.Version)
	p.SetFaults(platform.Faults{})
	object, err = client.Get(t.Context(), "a")
	require.NoError(t, err)
	require.Equal(t, "new", string(object.Value))
}

// TestLaggingVMList covers a VM that leaves but stays on the platform's list
// for a while.
func TestLaggingVMList(t *testing.T) {
	var now atomic.Int64
	p, client := startPlatform(t, platform.Options{
		Faults: platform.Faults{VMLagMs: 5000},
		Now:    func() time.Time { return time.Unix(now.Load(), 0) },
	})
	vm := objectstore.VM{Name: "vm1", DataCentre: "quilicura"}
	p.Store().PutVM(vm)
	now.Store(10)
	p.Store().DeleteVM("vm1")
	list, err := client.VMs(t.Context())
	require.NoError(t, err)
	require.Equal(t, []objectstore.VM{vm}, list)
	now.Store(15)
	list, err = client.VMs(t.Context())
	require.NoError(t, err)
	require.Empty(t, list)
}

// TestOutcomeOfAWriteByItsAnswer covers answers of a load balancer or a failing
// server in place of the platform. Only an answer with the platform's own code
// proves that a write had no effect; any other leaves the outcome unknown.
func TestOutcomeOfAWriteByItsAnswer(t *testing.T) {
	conflict := &objectstore.ConflictError{Key: "a", Current: 7}
	cases := []struct {
		name   string
		status int
		body   string
		want   error
	}{
		{"platform is down", 503, `{"code":"unavailable"}`, objectstore.ErrUnavailable},
		{"platform limits the rate", 429, `{"code":"rate_limited"}`, objectstore.ErrUnavailable},
		{"load balancer has no server", 503, `<html>no server</html>`, objectstore.ErrUnknownOutcome},
		{"code that does not fit the status", 500, `{"code":"unavailable"}`, objectstore.ErrUnknownOutcome},
		{"server failed", 500, ``, objectstore.ErrUnknownOutcome},
		{"gateway timeout", 504, `{}`, objectstore.ErrUnknownOutcome},
		{"refused token", 401, `{"code":"invalid"}`, objectstore.ErrInvalid},
		{"truncated answer", 200, `{"vers`, objectstore.ErrUnknownOutcome},
		{"answer without version", 200, `{}`, objectstore.ErrUnknownOutcome},
		{"redirect", 307, ``, objectstore.ErrUnknownOutcome},
		{"conflict", 412, `{"code":"conflict","current":7}`, conflict},
		{"conflict with status 409", 409, `{"code":"conflict","current":7}`, conflict},
		{"conflict from an intermediary", 412, ``, objectstore.ErrUnknownOutcome},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			calls := 0
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				calls++
				w.Header().Set("Location", "/elsewhere")
				w.WriteHeader(c.status)
				_, _ = w.Write([]byte(c.body))
			}))
			defer server.Close()
			client := objectstore.NewClient(objectstore.ClientOptions{BaseURL: server.URL})
			_, err := client.Put(t.Context(), "a", nil, 3)
			if c.want == error(conflict) {
				require.Equal(t, c.want, err)
			} else {
				require.ErrorIs(t, err, c.want)
			}
			require.Equal(t, 1, calls)
		})
	}
}
