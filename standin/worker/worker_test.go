package worker_test

import (
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/figstile/figstile/standin/upstream"
	"github.com/figstile/figstile/standin/worker"
)

// waitTimeout bounds waits on conditions; no outcome depends on it.
const waitTimeout = 20 * time.Second

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
	call := upstream.Call{Attempt: attempt, IdempotencyKey: "key-" + attempt, Body: body}
	response, err := call.Post(ctx, http.DefaultClient, b.url+"/book")
	if err != nil {
		return reply{err: err}
	}
	answer, err := worker.Read(response)
	return reply{answer: answer, err: err}
}

// wait returns once the worker's load is as given.
func (b *bench) wait(running, waiting int) {
	b.t.Helper()
	require.Eventually(b.t, func() bool {
		load := b.Load()
		return load.Running == running && load.Waiting == waiting
	}, waitTimeout, time.Millisecond)
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

// A caller hangs up while its request waits, and another while its request
// runs. Both must be counted as cancelled and the waiting one must not run.
func TestLeavingCallersAreCancelled(t *testing.T) {
	b := start(t, worker.Options{})
	ctxRunning, leaveRunning := context.WithCancel(t.Context())
	running := b.send(ctxRunning, "a", `{"busy_ms":1}`)
	b.wait(1, 0)
	ctxWaiting, leaveWaiting := context.WithCancel(t.Context())
	waiting := b.send(ctxWaiting, "b", `{"busy_ms":1}`)
	b.wait(1, 1)
	leaveWaiting()
	require.Error(t, (<-waiting).err)
	b.wait(1, 0)
	leaveRunning()
	require.Error(t, (<-running).err)
	b.wait(0, 0)
	for index := range 2 {
		require.Eventually(t, func() bool { return b.outcome(index) == upstream.Cancelled }, waitTimeout, time.Millisecond)
	}
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
	require.Eventually(t, func() bool { return b.outcome(0) == upstream.Crashed }, waitTimeout, time.Millisecond)
	close(b.gate)
	r := <-b.send(t.Context(), "c", `{}`)
	require.NoError(t, r.err)
	require.Equal(t, b.Load().Boot, r.answer.Boot)
}

// A request with an idempotency key goes out on a kept connection and crashes
// the worker. The transport would send such a request again on its own.
func TestCallIsSentOnce(t *testing.T) {
	b := start(t, worker.Options{Options: upstream.Options{Faults: upstream.Faults{CrashMarker: "poison"}}})
	close(b.gate)
	require.NoError(t, (<-b.send(t.Context(), "a", `{}`)).err)
	require.Error(t, (<-b.send(t.Context(), "b", `{"note":"poison"}`)).err)
	require.Equal(t, 1, b.Ledger().Started("key-b"))
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
	require.Equal(t, worker.StatusError(http.StatusServiceUnavailable), (<-b.send(t.Context(), "b", `{}`)).err)
	require.Equal(t, upstream.Truncated, b.outcome(0))
	require.Equal(t, upstream.Refused, b.outcome(1))
}

// The development fleet steers a worker from another process.
func TestControlOverHTTP(t *testing.T) {
	b := start(t, worker.Options{Options: upstream.Options{Faults: upstream.Faults{StayDown: true}}})
	control := func(method, path, body string) (int, string) {
		status, text, err := upstream.Control(t.Context(), http.DefaultClient, method, b.url+path, body)
		require.NoError(t, err)
		return status, text
	}
	for _, change := range [][2]string{{"/drain", `{"draining":true}`}, {"/faults", `{"refuse":1}`}} {
		status, _ := control(http.MethodPut, change[0], change[1])
		require.Equal(t, http.StatusNoContent, status)
	}
	status, _ := control(http.MethodPut, "/faults", `{`)
	require.Equal(t, http.StatusBadRequest, status)
	require.Error(t, (<-b.send(t.Context(), "a", `{}`)).err)
	for path, want := range map[string]string{"/load": `"draining":true`, "/ledger": `"outcome":"refused"`, "/faults": `{}`} {
		_, text := control(http.MethodGet, path, "")
		require.Contains(t, text, want)
	}
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
