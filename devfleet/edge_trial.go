package devfleet

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"text/tabwriter"
	"time"

	"github.com/figstile/figstile/coordination/prefix"
	"github.com/figstile/figstile/platform"
	"github.com/figstile/figstile/standin/server"
	"github.com/figstile/figstile/state"
	"github.com/figstile/figstile/transport/pause"
)

const (
	// callersPerWorkspace and floodCallers are the numbers of concurrent
	// callers per workspace. A caller pauses for callerPause after each answer,
	// and a caller of the flood only after a refusal with status 429.
	callersPerWorkspace = 3
	floodCallers        = 24
	callerPause         = 60 * time.Millisecond
	callDeadline        = 8 * time.Second
	// uniquePromptTokens is the size of the part of a prompt that no other
	// prompt has. The other part is one of sharedPromptCount shared ones of
	// sharedPromptTokens each.
	uniquePromptTokens = 280
	sharedPromptTokens = 200
	sharedPromptCount  = 5
	draftOutputTokens  = 10
	// storeOutage is how long the store is unavailable in the middle of the
	// trial.
	storeOutage = time.Second
	// settleTimeout limits the wait for the end of runs whose callers left.
	settleTimeout = 10 * time.Second
)

// edgeRecord is the result of one call.
type edgeRecord struct {
	workspace state.Workspace
	path      string
	attempt   string
	router    state.Router
	startedAt time.Time
	duration  time.Duration
	status    int
	// ownAnswer is set if the answer is complete and belongs to the attempt.
	// For a call to a held stream, whose caller leaves, only the first event is
	// compared.
	ownAnswer bool
	// callerLeft is set if the caller left before the end of the answer.
	callerLeft bool
	failure    string
}

// EdgeTrial is the result of a load on an EdgeFleet.
type EdgeTrial struct {
	Records  []edgeRecord `json:"-"`
	Verdicts []Verdict
}

// PromisesKept reports whether every promise held.
func (t EdgeTrial) PromisesKept() bool { return allHeld(t.Verdicts) }

// edgeEvidence is the data that the promises are checked on.
type edgeEvidence struct {
	records   []edgeRecord
	runs      map[state.Upstream][]server.Run
	keyLeaked bool
	// leavingUpstream started to leave at leavingSince; the key of
	// revokedWorkspace was revoked at revokedAt.
	leavingUpstream state.Upstream
	leavingSince    time.Time
	revokedAt       time.Time
}

// RunTrial sends a load for the given length of time, in which one workspace
// floods the fleet. Meanwhile an engine leaves, the key of a workspace is
// revoked, and the store is unavailable for a second. Then every promise is
// checked.
func (f *EdgeFleet) RunTrial(ctx context.Context, length time.Duration) (EdgeTrial, error) {
	ctx, cancel := context.WithTimeout(ctx, length+callDeadline+settleTimeout)
	defer cancel()
	evidence := edgeEvidence{leavingUpstream: state.Upstream(fmt.Sprintf("%s-%d", edgeDrafts, 1))}
	load := newEdgeLoad(f)
	var group sync.WaitGroup
	for _, ws := range f.config.Workspaces {
		callers := callersPerWorkspace
		if ws.Name == floodWorkspace {
			callers = floodCallers
		}
		for range callers {
			group.Go(func() { load.callUntil(ctx, time.Now().Add(length), ws.Name) })
		}
	}
	if err := f.injectFaults(ctx, length, &evidence); err != nil {
		return EdgeTrial{}, err
	}
	group.Wait()
	f.awaitRunsEnded(ctx)
	evidence.records = load.records
	evidence.runs = make(map[state.Upstream][]server.Run)
	for id, s := range f.servers {
		evidence.runs[id] = s.Runs()
		evidence.keyLeaked = evidence.keyLeaked || s.ReceivedCallerKey()
	}
	return EdgeTrial{Records: load.records, Verdicts: evidence.verdicts()}, nil
}

// injectFaults makes an engine leave, revokes a key and makes the store
// unavailable while the load runs.
func (f *EdgeFleet) injectFaults(ctx context.Context, length time.Duration, evidence *edgeEvidence) error {
	if err := pause.For(ctx, length/8); err != nil {
		return err
	}
	leaving := f.servers[evidence.leavingUpstream].entry
	leaving.Leaving = true
	if err := f.register(leaving); err != nil {
		return err
	}
	evidence.leavingSince = time.Now()
	f.config.Version++
	f.config.Workspaces = f.config.Workspaces[:len(f.config.Workspaces)-1]
	if err := f.writeConfig(); err != nil {
		return err
	}
	evidence.revokedAt = time.Now()
	if err := pause.For(ctx, length/2); err != nil {
		return err
	}
	f.store.SetUnavailable(true)
	defer f.store.SetUnavailable(false)
	return pause.For(ctx, storeOutage)
}

// awaitRunsEnded waits until no run is in progress, or until settleTimeout has
// passed.
func (f *EdgeFleet) awaitRunsEnded(ctx context.Context) {
	until := time.Now().Add(settleTimeout)
	for time.Now().Before(until) && f.runningCount() > 0 && pause.For(ctx, readyInterval) == nil {
	}
}

func (f *EdgeFleet) runningCount() int {
	n := 0
	for _, s := range f.servers {
		for _, run := range s.Runs() {
			if !run.Ended {
				n++
			}
		}
	}
	return n
}

// edgeLoad sends calls and records their results.
type edgeLoad struct {
	fleet       *EdgeFleet
	lastAttempt atomic.Int64

	mu      sync.Mutex
	records []edgeRecord
}

func newEdgeLoad(f *EdgeFleet) *edgeLoad { return &edgeLoad{fleet: f} }

func (l *edgeLoad) callUntil(ctx context.Context, until time.Time, ws state.Workspace) {
	for time.Now().Before(until) && ctx.Err() == nil {
		record := l.call(ctx, ws)
		l.mu.Lock()
		l.records = append(l.records, record)
		l.mu.Unlock()
		if ws != floodWorkspace || record.status == http.StatusTooManyRequests {
			_ = pause.For(ctx, callerPause)
		}
	}
}

// call makes one call to a random path through a random router.
func (l *edgeLoad) call(ctx context.Context, ws state.Workspace) edgeRecord {
	router := l.fleet.routers[rand.IntN(len(l.fleet.routers))]
	paths := []string{draftsPath, draftsPath, publishPath, mapsPath, server.HeldStreamPath}
	record := edgeRecord{
		workspace: ws, path: paths[rand.IntN(len(paths))], router: router.Router,
		attempt: fmt.Sprintf("%s-%d", ws, l.lastAttempt.Add(1)), startedAt: time.Now(),
	}
	ctx, cancel := context.WithTimeout(ctx, callDeadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+router.Addresses.Callers+record.path+"x", nil)
	if err != nil {
		record.failure = err.Error()
		return record
	}
	request.Host, request.Close = edgeHost, true
	platform.SetCallerHeaders(request.Header, l.callerHeaders(record))
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		record.failure = err.Error()
		return record
	}
	defer func() { _ = response.Body.Close() }()
	record.status = response.StatusCode
	record.readAnswer(response)
	record.duration = time.Since(record.startedAt)
	return record
}

func (l *edgeLoad) callerHeaders(r edgeRecord) platform.CallerHeaders {
	call := platform.CallerHeaders{Attempt: r.attempt, Key: edgeKey(r.workspace), Deadline: callDeadline}
	if r.path == draftsPath || r.path == server.HeldStreamPath {
		call.Prompt = []prefix.Part{{ID: rand.Uint64N(sharedPromptCount), Tokens: sharedPromptTokens}, {ID: rand.Uint64(), Tokens: uniquePromptTokens}}
		call.MaxOutput = draftOutputTokens
	}
	return call
}

// readAnswer reads an answer. The caller of a held stream leaves after the
// first event.
func (r *edgeRecord) readAnswer(response *http.Response) {
	signed := platform.Signature(response.Header) != ""
	if r.path == server.HeldStreamPath && response.StatusCode == http.StatusOK {
		first := server.EventText(r.attempt, 1)
		text := make([]byte, len(first))
		_, err := io.ReadFull(bufio.NewReader(response.Body), text)
		r.callerLeft, r.ownAnswer = true, err == nil && signed && string(text) == first
		return
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		r.failure = err.Error()
		return
	}
	r.ownAnswer = signed && string(body) == r.expectedBody()
}

func (r *edgeRecord) expectedBody() string {
	if r.path != draftsPath {
		return server.AnswerBody(r.attempt)
	}
	var events strings.Builder
	for n := 1; n <= draftOutputTokens; n++ {
		events.WriteString(server.EventText(r.attempt, n))
	}
	return events.String()
}

func (r *edgeRecord) served() bool { return r.status == http.StatusOK && r.failure == "" }

// notRun reports whether the answer states that the attempt has not run.
func (r *edgeRecord) notRun() bool {
	return r.status == http.StatusTooManyRequests || r.status == http.StatusServiceUnavailable
}

// WriteText prints the calls per workspace and one line for each promise.
func (t EdgeTrial) WriteText(w io.Writer) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(tw, "WORKSPACE\tASKED\tSERVED\tREFUSED\n")
	asked, served := countByWorkspace(t.Records)
	for _, ws := range edgeConfig().Workspaces {
		fmt.Fprintf(tw, "%s\t%d\t%d\t%d\n", ws.Name, asked[ws.Name], served[ws.Name], asked[ws.Name]-served[ws.Name])
	}
	if err := tw.Flush(); err != nil {
		return err
	}
	fmt.Fprintln(w)
	return writeVerdicts(w, t.Verdicts)
}

func countByWorkspace(records []edgeRecord) (asked, served map[state.Workspace]int) {
	asked, served = make(map[state.Workspace]int), make(map[state.Workspace]int)
	for _, r := range records {
		asked[r.workspace]++
		if r.served() {
			served[r.workspace]++
		}
	}
	return asked, served
}
