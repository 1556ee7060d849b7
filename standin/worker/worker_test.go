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

// waitTimeout limits how long tests wait for a condition; no result depends on
// its value.
const waitTimeout = 20 * time.Second

// testWorker is a worker whose requests stay busy until release is closed, and
// whose clock advances by one second each time it is read.
type testWorker struct {
	*worker.Worker
	t       *testing.T
	url     string
	release chan struct{}
	now     atomic.Int64
}

func startWorker(t *testing.T, opts worker.Options) *testWorker {
	t.Helper()
	w := &testWorker{t: t, release: make(chan struct{})}
	opts.Name = "worker"
	opts.Now = func() time.Time { return time.Unix(w.now.Add(1), 0) }
	opts.Sleep = func(ctx context.Context, _ time.Duration) error {
		select {
		case <-w.release:
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	w.Worker = worker.New(opts)
	url, stop, err := w.Start("127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(stop)
	w.url = url
	return w
}

// reply is the result that a caller received.
type reply struct {
	answer worker.Answer
	err    error
}

// send posts a body in the background.
func (w *testWorker) send(ctx context.Context, attempt, body string) <-chan reply {
	replies := make(chan reply, 1)
	go func() { replies <- w.post(ctx, attempt, body) }()
	return replies
}

func (w *testWorker) post(ctx context.Context, attempt, body string) reply {
	call := upstream.Call{Attempt: attempt, IdempotencyKey: "key-" + attempt, Body: body}
	response, err := call.Post(ctx, http.DefaultClient, w.url+"/book")
	if err != nil {
		return reply{err: err}
	}
	answer, err := worker.Read(response)
	return reply{answer: answer, err: err}
}

// awaitLoad waits until the worker's load report shows the given numbers.
func (w *testWorker) awaitLoad(running, waiting int) {
	w.t.Helper()
	require.Eventually(w.t, func() bool {
		load := w.Load()
		return load.Running == running && load.Waiting == waiting
	}, waitTimeout, time.Millisecond)
}

func (w *testWorker) outcome(index int) upstream.Outcome { return w.Ledger().Entries()[index].Outcome }

func TestRequestsBeyondTheSlotsRunInOrderOfArrival(t *testing.T) {
	w := startWorker(t, worker.Options{Options: upstream.Options{Slots: 1}})
	first := w.send(t.Context(), "a", `{"busy_ms":1}`)
	w.awaitLoad(1, 0)
	second := w.send(t.Context(), "b", `{"busy_ms":1}`)
	w.awaitLoad(1, 1)
	third := w.send(t.Context(), "c", `{"busy_ms":1}`)
	w.awaitLoad(1, 2)
	close(w.release)
	for _, replies := range []<-chan reply{first, second, third} {
		r := <-replies
		require.NoError(t, r.err)
		require.EqualValues(t, 1, r.answer.BusyMs)
	}
	entries := w.Ledger().Entries()
	require.True(t, entries[0].Ended.After(entries[0].Started))
	require.True(t, entries[1].Started.After(entries[0].Started))
	require.True(t, entries[2].Started.After(entries[1].Started))
	require.Equal(t, 1, w.Ledger().StartedCount("key-b"))
}

func TestBusyTimeStaysWithinBounds(t *testing.T) {
	w := startWorker(t, worker.Options{MinBusy: 5 * time.Millisecond, MaxBusy: 10 * time.Millisecond})
	close(w.release)
	for body, busy := range map[string]int64{`{"busy_ms":1}`: 5, `{"busy_ms":99}`: 10, `not JSON`: 5} {
		r := <-w.send(t.Context(), "a", body)
		require.NoError(t, r.err)
		require.Equal(t, busy, r.answer.BusyMs)
	}
}

// One caller leaves while its request waits, another while its request runs.
// Both requests must be recorded as cancelled, and the waiting one must not
// run.
func TestLeavingCallersAreCancelled(t *testing.T) {
	w := startWorker(t, worker.Options{})
	ctxRunning, cancelRunning := context.WithCancel(t.Context())
	running := w.send(ctxRunning, "a", `{"busy_ms":1}`)
	w.awaitLoad(1, 0)
	ctxWaiting, cancelWaiting := context.WithCancel(t.Context())
	waiting := w.send(ctxWaiting, "b", `{"busy_ms":1}`)
	w.awaitLoad(1, 1)
	cancelWaiting()
	require.Error(t, (<-waiting).err)
	w.awaitLoad(1, 0)
	cancelRunning()
	require.Error(t, (<-running).err)
	w.awaitLoad(0, 0)
	for index := range 2 {
		require.Eventually(t, func() bool { return w.outcome(index) == upstream.Cancelled }, waitTimeout, time.Millisecond)
	}
	require.Zero(t, w.Ledger().StartedCount("key-b"))
}

// A request crashes the process while another one runs. Both callers must lose
// their connections, and the worker must restart with a new Boot.
func TestMarkedRequestCrashesTheWorker(t *testing.T) {
	w := startWorker(t, worker.Options{Options: upstream.Options{Slots: 2, Faults: upstream.Faults{CrashMarker: "poison"}}})
	boot := w.Load().Boot
	concurrent := w.send(t.Context(), "a", `{"busy_ms":1}`)
	w.awaitLoad(1, 0)
	require.Error(t, (<-w.send(t.Context(), "b", `{"busy_ms":1,"note":"poison"}`)).err)
	require.Error(t, (<-concurrent).err)
	w.awaitLoad(0, 0)
	require.NotEqual(t, boot, w.Load().Boot)
	require.Eventually(t, func() bool { return w.outcome(0) == upstream.Crashed }, waitTimeout, time.Millisecond)
	close(w.release)
	r := <-w.send(t.Context(), "c", `{}`)
	require.NoError(t, r.err)
	require.Equal(t, w.Load().Boot, r.answer.Boot)
}

// A request with an idempotency key goes out on a reused connection and crashes
// the worker. By default http.Transport would send such a request again by
// itself.
func TestCallIsSentOnce(t *testing.T) {
	w := startWorker(t, worker.Options{Options: upstream.Options{Faults: upstream.Faults{CrashMarker: "poison"}}})
	close(w.release)
	require.NoError(t, (<-w.send(t.Context(), "a", `{}`)).err)
	require.Error(t, (<-w.send(t.Context(), "b", `{"note":"poison"}`)).err)
	require.Equal(t, 1, w.Ledger().StartedCount("key-b"))
}

func TestCrashedWorkerStaysDownUntilRestarted(t *testing.T) {
	w := startWorker(t, worker.Options{Options: upstream.Options{Faults: upstream.Faults{StayDown: true}}})
	close(w.release)
	w.Crash()
	require.Error(t, (<-w.send(t.Context(), "a", `{}`)).err)
	require.Empty(t, w.Ledger().Entries())
	require.NoError(t, w.Restart())
	require.NoError(t, (<-w.send(t.Context(), "b", `{}`)).err)
}

// The second of two callers receives the answer to the first one's request,
// complete and well formed. The answer's attempt id must show that it belongs
// to the other request.
func TestCrossedAnswerNamesTheOtherAttempt(t *testing.T) {
	w := startWorker(t, worker.Options{})
	close(w.release)
	require.NoError(t, (<-w.send(t.Context(), "a", `{"of":"a"}`)).err)
	w.SetFaults(upstream.Faults{CrossAnswers: 1})
	r := <-w.send(t.Context(), "b", `{"of":"b"}`)
	require.NoError(t, r.err)
	require.Equal(t, "a", r.answer.Attempt)
	require.Equal(t, upstream.Digest([]byte(`{"of":"a"}`)), r.answer.Digest)
}

func TestTruncatedAndRejectedAnswers(t *testing.T) {
	w := startWorker(t, worker.Options{Options: upstream.Options{Faults: upstream.Faults{TruncateAnswers: 1}}})
	close(w.release)
	require.ErrorIs(t, (<-w.send(t.Context(), "a", `{}`)).err, io.ErrUnexpectedEOF)
	w.SetFaults(upstream.Faults{RejectRequests: 1})
	require.Equal(t, worker.StatusError(http.StatusServiceUnavailable), (<-w.send(t.Context(), "b", `{}`)).err)
	require.Equal(t, upstream.Truncated, w.outcome(0))
	require.Equal(t, upstream.Rejected, w.outcome(1))
}

// The development fleet controls a worker from another process, so the control
// paths must work over HTTP.
func TestControlOverHTTP(t *testing.T) {
	w := startWorker(t, worker.Options{Options: upstream.Options{Faults: upstream.Faults{StayDown: true}}})
	control := func(method, path, body string) (int, string) {
		status, text, err := upstream.Control(t.Context(), http.DefaultClient, method, w.url+path, body)
		require.NoError(t, err)
		return status, text
	}
	for _, change := range [][2]string{{"/drain", `{"draining":true}`}, {"/faults", `{"refuse":1}`}} {
		status, _ := control(http.MethodPut, change[0], change[1])
		require.Equal(t, http.StatusNoContent, status)
	}
	status, _ := control(http.MethodPut, "/faults", `{`)
	require.Equal(t, http.StatusBadRequest, status)
	require.Error(t, (<-w.send(t.Context(), "a", `{}`)).err)
	for path, want := range map[string]string{"/load": `"draining":true`, "/ledger": `"outcome":"refused"`, "/faults": `{}`} {
		_, text := control(http.MethodGet, path, "")
		require.Contains(t, text, want)
	}
}

// Load reports are read with a lag, so a worker that starts to drain still
// appears to be in service until the lag has passed.
func TestLoadReportLags(t *testing.T) {
	w := startWorker(t, worker.Options{Options: upstream.Options{LoadLag: 30 * time.Second}})
	w.SetDraining(true)
	require.False(t, w.Load().Draining)
	w.now.Add(30)
	require.True(t, w.Load().Draining)
}
