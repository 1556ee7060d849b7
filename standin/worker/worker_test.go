package worker_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/figstile/figstile/standin/upstream"
	"github.com/figstile/figstile/standin/worker"
)

// patience bounds waits on conditions; no outcome depends on it.
const patience = 20 * time.Second

// bench is a worker whose requests stay busy until the gate opens, and whose
// clock moves one second at each look.
type bench struct {
	*worker.Worker
	t    *testing.T
	url  string
	gate chan struct{}
	now  atomic.Int64
}

func start(t *testing.T, opts worker.Options) *bench {
	t.Helper()
	b := &bench{t: t, gate: make(chan struct{})}
	opts.Name = "worker"
	opts.Now = func() time.Time { return time.Unix(b.now.Add(1), 0) }
	opts.Sleep = func(ctx context.Context, _ time.Duration) error {
		select {
		case <-b.gate:
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	b.Worker = worker.New(opts)
	url, stop, err := b.Start("127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(stop)
	b.url = url
	return b
}

// reply is what a caller got.
type reply struct {
	status int
	answer worker.Answer
	err    error
}

// send posts a body in the background.
func (b *bench) send(ctx context.Context, attempt, body string) <-chan reply {
	replies := make(chan reply, 1)
	go func() { replies <- b.exchange(ctx, attempt, body) }()
	return replies
}

func (b *bench) exchange(ctx context.Context, attempt, body string) reply {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, b.url+"/book", strings.NewReader(body))
	if err != nil {
		return reply{err: err}
	}
	req.Header.Set(upstream.HeaderAttempt, attempt)
	req.Header.Set(upstream.HeaderIdempotencyKey, "key-"+attempt)
	response, err := http.DefaultClient.Do(req)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return reply{err: err}
	}
	r := reply{status: response.StatusCode}
	r.err = json.NewDecoder(bytes.NewReader(text)).Decode(&r.answer)
	return r
}

// wait returns once the worker's load is as given.
func (b *bench) wait(running, waiting int) {
	b.t.Helper()
	require.Eventually(b.t, func() bool {
		load := b.Load()
		return load.Running == running && load.Waiting == waiting
	}, patience, time.Millisecond)
}

func (b *bench) outcome(index int) upstream.Outcome { return b.Ledger().Entries()[index].Outcome }

func TestRequestsBeyondTheSlotsRunInOrderOfArrival(t *testing.T) {
	b := start(t, worker.Options{Options: upstream.Options{Slots: 1}})
	first := b.send(t.Context(), "a", `{"busy_ms":1}`)
	b.wait(1, 0)
	second := b.send(t.Context(), "b", `{"busy_ms":1}`)
	b.wait(1, 1)
	third := b.send(t.Context(), "c", `{"busy_ms":1}`)
	b.wait(1, 2)
	close(b.gate)
	for _, replies := range []<-chan reply{first, second, third} {
		r := <-replies
		require.NoError(t, r.err)
		require.EqualValues(t, 1, r.answer.BusyMs)
	}
	entries := b.Ledger().Entries()
	require.True(t, entries[0].Ended.After(entries[0].Started))
	require.True(t, entries[1].Started.After(entries[0].Started))
	require.True(t, entries[2].Started.After(entries[1].Started))
	require.Equal(t, 1, b.Ledger().Started("key-b"))
}

func TestBusyTimeStaysWithinBounds(t *testing.T) {
	b := start(t, worker.Options{MinBusy: 5 * time.Millisecond, MaxBusy: 10 * time.Millisecond})
	close(b.gate)
	for body, busy := range map[string]int64{`{"busy_ms":1}`: 5, `{"busy_ms":99}`: 10, `not JSON`: 5} {
		r := <-b.send(t.Context(), "a", body)
		require.NoError(t, r.err)
		require.Equal(t, busy, r.answer.BusyMs)
	}
}

// A caller hangs up while its request runs and another while its request
// waits. Both must be counted as cancelled and the waiting one must not run.
func TestLeavingCallersAreCancelled(t *testing.T) {
	b := start(t, worker.Options{})
	ctx, leave := context.WithCancel(t.Context())
	running := b.send(ctx, "a", `{"busy_ms":1}`)
	b.wait(1, 0)
	waiting := b.send(ctx, "b", `{"busy_ms":1}`)
	b.wait(1, 1)
	leave()
	require.Error(t, (<-running).err)
	require.Error(t, (<-waiting).err)
	b.wait(0, 0)
	require.Eventually(t, func() bool { return b.outcome(0) == upstream.Cancelled }, patience, time.Millisecond)
	require.Equal(t, upstream.Cancelled, b.outcome(1))
	require.Zero(t, b.Ledger().Started("key-b"))
}

// One request makes the process crash while another runs beside it. Both
// callers lose their connections; the worker is back with a new Boot.
func TestMarkedRequestCrashesTheWorker(t *testing.T) {
	b := start(t, worker.Options{Options: upstream.Options{Slots: 2, Faults: upstream.Faults{CrashMarker: "poison"}}})
	boot := b.Load().Boot
	beside := b.send(t.Context(), "a", `{"busy_ms":1}`)
	b.wait(1, 0)
	require.Error(t, (<-b.send(t.Context(), "b", `{"busy_ms":1,"note":"poison"}`)).err)
	require.Error(t, (<-beside).err)
	b.wait(0, 0)
	require.NotEqual(t, boot, b.Load().Boot)
	require.Eventually(t, func() bool { return b.outcome(0) == upstream.Crashed }, patience, time.Millisecond)
	close(b.gate)
	r := <-b.send(t.Context(), "c", `{}`)
	require.NoError(t, r.err)
	require.Equal(t, b.Load().Boot, r.answer.Boot)
}

func TestCrashedWorkerStaysDownUntilRestarted(t *testing.T) {
	b := start(t, worker.Options{Options: upstream.Options{Faults: upstream.Faults{StayDown: true}}})
	close(b.gate)
	b.Crash()
	require.Error(t, (<-b.send(t.Context(), "a", `{}`)).err)
	require.Empty(t, b.Ledger().Entries())
	require.NoError(t, b.Restart())
	require.NoError(t, (<-b.send(t.Context(), "b", `{}`)).err)
}

// Two requests follow each other and the second caller is handed the first
// one's answer, whole and well formed. Only its attempt id gives it away.
func TestCrossedAnswerNamesTheOtherAttempt(t *testing.T) {
	b := start(t, worker.Options{})
	close(b.gate)
	require.NoError(t, (<-b.send(t.Context(), "a", `{"of":"a"}`)).err)
	b.SetFaults(upstream.Faults{Cross: 1})
	r := <-b.send(t.Context(), "b", `{"of":"b"}`)
	require.NoError(t, r.err)
	require.Equal(t, "a", r.answer.Attempt)
	require.Equal(t, upstream.Digest([]byte(`{"of":"a"}`)), r.answer.Digest)
}

func TestTruncatedAndRefusedAnswers(t *testing.T) {
	b := start(t, worker.Options{Options: upstream.Options{Faults: upstream.Faults{Truncate: 1}}})
	close(b.gate)
	require.ErrorIs(t, (<-b.send(t.Context(), "a", `{}`)).err, io.ErrUnexpectedEOF)
	b.SetFaults(upstream.Faults{Refuse: 1})
	require.Equal(t, http.StatusServiceUnavailable, (<-b.send(t.Context(), "b", `{}`)).status)
	require.Equal(t, upstream.Truncated, b.outcome(0))
	require.Equal(t, upstream.Refused, b.outcome(1))
}

// Load reports come with a lag, so a worker that asks for no new work is
// believed to be in service a little longer.
func TestLoadReportLags(t *testing.T) {
	b := start(t, worker.Options{Options: upstream.Options{LoadLag: 30 * time.Second}})
	b.SetDraining(true)
	require.False(t, b.Load().Draining)
	b.now.Add(30)
	require.True(t, b.Load().Draining)
}
