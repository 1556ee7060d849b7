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
	// usualCallers and floodCallers send at the same time for a workspace; a
	// usual caller pauses after each answer.
	usualCallers = 3
	floodCallers = 24
	usualPause   = 60 * time.Millisecond
	callDeadline = 8 * time.Second
	// draftTokens is a prompt's own part; the shared one is one of a few.
	draftTokens  = 280
	sharedTokens = 200
	sharedParts  = 5
	draftOutput  = 10
	// awayFor is how long the store is away in the middle of the trial.
	awayFor = time.Second
	// settleFor bounds the wait for runs whose callers left.
	settleFor = 10 * time.Second
)

// edgeRecord is what came of one call.
type edgeRecord struct {
	workspace state.Workspace
	path      string
	attempt   string
	router    state.Router
	began     time.Time
	took      time.Duration
	status    int
	// own is set if the answer is whole and the attempt's own.
	own bool
	// left is set if the caller left before the end.
	left   bool
	broken string
}

// EdgeTrial is a load on an EdgeFleet and what came of it.
type EdgeTrial struct {
	Records  []edgeRecord `json:"-"`
	Verdicts []Verdict
}

// Held tells whether every promise held.
func (t EdgeTrial) Held() bool { return allHeld(t.Verdicts) }

// edgeEvidence is what the promises are checked on.
type edgeEvidence struct {
	records []edgeRecord
	runs    map[state.Upstream][]server.Run
	leaked  bool
	// leaving left at leftAt, the key of a workspace went at revokedAt.
	leaving   state.Upstream
	leftAt    time.Time
	revokedAt time.Time
}

// Try sends a load for a while: one workspace floods the others. Meanwhile an
// engine leaves, a workspace's key is taken away, and the store is away for a
// second. Then every promise is checked.
func (f *EdgeFleet) Try(ctx context.Context, length time.Duration) (EdgeTrial, error) {
	ctx, cancel := context.WithTimeout(ctx, length+callDeadline+settleFor)
	defer cancel()
	evidence := edgeEvidence{leaving: state.Upstream(fmt.Sprintf("%s-%d", edgeDrafts, 1))}
	load := newEdgeLoad(f)
	var group sync.WaitGroup
	for _, ws := range f.config.Workspaces {
		callers := usualCallers
		if ws.Name == floodWorkspace {
			callers = floodCallers
		}
		for range callers {
			group.Go(func() { load.callUntil(ctx, time.Now().Add(length), ws.Name) })
		}
	}
	if err := f.trouble(ctx, length, &evidence); err != nil {
		return EdgeTrial{}, err
	}
	group.Wait()
	f.settle(ctx)
	evidence.records = load.records
	evidence.runs = make(map[state.Upstream][]server.Run)
	for id, s := range f.servers {
		evidence.runs[id] = s.Runs()
		evidence.leaked = evidence.leaked || s.Leaked()
	}
	return EdgeTrial{Records: load.records, Verdicts: evidence.check()}, nil
}

// trouble changes what the routers know while the load runs.
func (f *EdgeFleet) trouble(ctx context.Context, length time.Duration, evidence *edgeEvidence) error {
	if err := pause.For(ctx, length/8); err != nil {
		return err
	}
	leaving := f.servers[evidence.leaving].entry
	leaving.Leaving = true
	if err := f.register(leaving); err != nil {
		return err
	}
	evidence.leftAt = time.Now()
	f.config.Version++
	f.config.Workspaces = f.config.Workspaces[:len(f.config.Workspaces)-1]
	if err := f.writeConfig(); err != nil {
		return err
	}
	evidence.revokedAt = time.Now()
	if err := pause.For(ctx, length/2); err != nil {
		return err
	}
	f.store.SetAway(true)
	defer f.store.SetAway(false)
	return pause.For(ctx, awayFor)
}

// settle waits until no run is under way.
func (f *EdgeFleet) settle(ctx context.Context) {
	until := time.Now().Add(settleFor)
	for time.Now().Before(until) && f.running() > 0 && pause.For(ctx, readyInterval) == nil {
	}
}

func (f *EdgeFleet) running() int {
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

// edgeLoad sends calls and keeps what came of them.
type edgeLoad struct {
	fleet *EdgeFleet
	next  atomic.Int64

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
			_ = pause.For(ctx, usualPause)
		}
	}
}

// call makes one call of a drawn class through a drawn router.
func (l *edgeLoad) call(ctx context.Context, ws state.Workspace) edgeRecord {
	router := l.fleet.routers[rand.IntN(len(l.fleet.routers))]
	paths := []string{draftsPath, draftsPath, publishPath, mapsPath, server.HeldPath}
	record := edgeRecord{
		workspace: ws, path: paths[rand.IntN(len(paths))], router: router.Router,
		attempt: fmt.Sprintf("%s-%d", ws, l.next.Add(1)), began: time.Now(),
	}
	ctx, cancel := context.WithTimeout(ctx, callDeadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+router.Addresses.Callers+record.path+"x", nil)
	if err != nil {
		record.broken = err.Error()
		return record
	}
	request.Host, request.Close = edgeHost, true
	platform.SetCallerHeaders(request.Header, l.describe(record))
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		record.broken = err.Error()
		return record
	}
	defer func() { _ = response.Body.Close() }()
	record.status = response.StatusCode
	record.read(response)
	record.took = time.Since(record.began)
	return record
}

func (l *edgeLoad) describe(r edgeRecord) platform.CallerHeaders {
	call := platform.CallerHeaders{Attempt: r.attempt, Key: edgeKey(r.workspace), Deadline: callDeadline}
	if r.path == draftsPath || r.path == server.HeldPath {
		call.Prompt = []prefix.Part{{ID: rand.Uint64N(sharedParts), Tokens: sharedTokens}, {ID: rand.Uint64(), Tokens: draftTokens}}
		call.MaxOutput = draftOutput
	}
	return call
}

// read reads an answer; a held stream is left after its first event.
func (r *edgeRecord) read(response *http.Response) {
	signed := platform.Signature(response.Header) != ""
	if r.path == server.HeldPath && response.StatusCode == http.StatusOK {
		first := server.Event(r.attempt, 1)
		text := make([]byte, len(first))
		_, err := io.ReadFull(bufio.NewReader(response.Body), text)
		r.left, r.own = true, err == nil && signed && string(text) == first
		return
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		r.broken = err.Error()
		return
	}
	r.own = signed && string(body) == r.expected()
}

func (r *edgeRecord) expected() string {
	if r.path != draftsPath {
		return server.Page(r.attempt)
	}
	var events strings.Builder
	for n := 1; n <= draftOutput; n++ {
		events.WriteString(server.Event(r.attempt, n))
	}
	return events.String()
}

func (r *edgeRecord) served() bool { return r.status == http.StatusOK && r.broken == "" }

// notRun says whether the answer promised that the attempt has not run.
func (r *edgeRecord) notRun() bool {
	return r.status == http.StatusTooManyRequests || r.status == http.StatusServiceUnavailable
}

// WriteText prints the figures and one line for each promise.
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
