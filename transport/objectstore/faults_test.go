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

// waitTimeout bounds waits on conditions; no outcome depends on it.
const waitTimeout = 20 * time.Second

// An operator saves a change and the connection breaks before the answer: once
// after the platform applied the write and once before. To the client both look
// the same, so it must not claim to know; reading the object settles it.
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

// The platform accepts connections but never answers, and the caller gives
// up. A write may have been applied; a read may not, so it is just unavailable.
func TestHangingPlatform(t *testing.T) {
	p, client := startPlatform(t, platform.Options{})
	p.SetFaults(platform.Faults{Outage: platform.Hang})
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

// The platform's address refuses connections. Nothing can have been written.
func TestRefusedConnectionHasNoEffect(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	client := objectstore.NewClient(objectstore.ClientOptions{BaseURL: server.URL})
	server.Close()
	_, err := client.Put(t.Context(), "a", nil, 0)
	require.ErrorIs(t, err, objectstore.ErrUnavailable)
	require.NotErrorIs(t, err, objectstore.ErrUnknownOutcome)
}

// A watch waits on one kept connection and a write is about to go out on
// another when the platform cuts both. The write's outcome is unknown, for it
// had a connection. The watch must not be repeated by the transport, for every
// router would do so at that moment.
func TestCutPooledConnections(t *testing.T) {
	p, client := startPlatform(t, platform.Options{})
	_, err := client.VMs(t.Context())
	require.NoError(t, err)
	ended := make(chan error, 1)
	go func() {
		_, _, err := client.Watch(t.Context(), "a", 0)
		ended <- err
	}()
	require.Eventually(t, func() bool { return p.Store().Waiting() == 1 }, waitTimeout, time.Millisecond)
	_, err = client.VMs(t.Context())
	require.NoError(t, err)
	p.SetFaults(platform.Faults{Outage: platform.Drop})
	_, err = client.Put(t.Context(), "a", nil, 0)
	require.ErrorIs(t, err, objectstore.ErrUnknownOutcome)
	require.ErrorIs(t, <-ended, objectstore.ErrUnavailable)
	require.EqualValues(t, 1, p.Calls().Watch)
}

// A write beyond the rate is answered with 429 and has no effect; once the
// clock has moved on, writes pass again. A watch that waits has used up one
// read, however long it waits.
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
	require.Eventually(t, func() bool { return p.Store().Waiting() == 1 }, waitTimeout, time.Millisecond)
	_, err = client.Get(t.Context(), "a")
	require.NoError(t, err)
	_, err = client.Get(t.Context(), "a")
	require.ErrorIs(t, err, objectstore.ErrUnavailable)
	calls := p.Calls()
	require.EqualValues(t, 1, calls.Watch)
	require.EqualValues(t, 2, calls.Limited)
}

// Reads are answered from an old replica: the client passes on what it is
// told, with the old version, so that callers can see that it is old.
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

// A machine leaves but the list of machines still shows it for a while.
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

// A balancer or a dying server stands between client and platform and answers
// in its place. Only an answer with the platform's own code proves that a
// write had no effect; anything else leaves the outcome unknown.
func TestOutcomeOfAWriteByItsAnswer(t *testing.T) {
	conflict := &objectstore.ConflictError{Key: "a", Current: 7}
	cases := []struct {
		name   string
		status int
		body   string
		want   error
	}{
		{"platform is down", 503, `{"code":"unavailable"}`, objectstore.ErrUnavailable},
		{"platform limits", 429, `{"code":"rate_limited"}`, objectstore.ErrUnavailable},
		{"balancer is down", 503, `<html>no server</html>`, objectstore.ErrUnknownOutcome},
		{"code of another status", 500, `{"code":"unavailable"}`, objectstore.ErrUnknownOutcome},
		{"server failed", 500, ``, objectstore.ErrUnknownOutcome},
		{"gateway timeout", 504, `{}`, objectstore.ErrUnknownOutcome},
		{"refused token", 401, `{"code":"invalid"}`, objectstore.ErrInvalid},
		{"half an answer", 200, `{"vers`, objectstore.ErrUnknownOutcome},
		{"answer without version", 200, `{}`, objectstore.ErrUnknownOutcome},
		{"redirect", 307, ``, objectstore.ErrUnknownOutcome},
		{"conflict", 412, `{"code":"conflict","current":7}`, conflict},
		{"conflict by another status", 409, `{"code":"conflict","current":7}`, conflict},
		{"conflict of something in between", 412, ``, objectstore.ErrUnknownOutcome},
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
