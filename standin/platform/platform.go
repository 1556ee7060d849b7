package platform

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"github.com/figstile/figstile/standin/upstream"
	"github.com/figstile/figstile/transport/objectstore"
)

// Options configures a Platform. The zero value is usable.
type Options struct {
	Store  StoreOptions
	Faults Faults
	// Now is the clock of the rate limits and of the lag of the list of VMs;
	// time.Now if nil.
	Now func() time.Time
	// Sleep delays the calls under OutageSlow; it waits in real time if nil.
	Sleep func(ctx context.Context, d time.Duration) error
}

// Platform serves a Store over HTTP and simulates the faults that a test sets.
type Platform struct {
	opts        Options
	store       *Store
	mux         *http.ServeMux
	answerBytes atomic.Int64

	mu           sync.Mutex
	faults       Faults
	writeLimiter *rate.Limiter
	readLimiter  *rate.Limiter
	callCounts   [callKindCount]int64
	limitedCalls int64
	// staleStore answers reads while Faults.StaleReads is set.
	staleStore *Store
	// epoch is cancelled when the outage changes.
	epoch    context.Context
	endEpoch context.CancelFunc
}

// New returns a platform with an empty store.
func New(opts Options) *Platform {
	if opts.Now == nil {
		opts.Now = time.Now
	}
	if opts.Sleep == nil {
		opts.Sleep = upstream.Sleep
	}
	opts.Store.Now = opts.Now
	p := &Platform{
		opts:         opts,
		store:        NewStore(opts.Store),
		mux:          http.NewServeMux(),
		writeLimiter: newLimiter(0),
		readLimiter:  newLimiter(0),
	}
	p.epoch, p.endEpoch = context.WithCancel(context.Background())
	p.SetFaults(opts.Faults)
	p.registerRoutes()
	return p
}

func (p *Platform) registerRoutes() {
	p.mux.HandleFunc("GET "+objectstore.PathObjects+"/{key...}", p.withFaults(GetCall, p.get))
	p.mux.HandleFunc("PUT "+objectstore.PathObjects+"/{key...}", p.withFaults(PutCall, p.put))
	p.mux.HandleFunc("GET "+objectstore.PathObjects, p.withFaults(ListCall, p.list))
	p.mux.HandleFunc("GET "+objectstore.PathWatch, p.withFaults(WatchCall, p.watch))
	p.mux.HandleFunc("GET "+objectstore.PathVMs, p.withFaults(VMsCall, p.listVMs))
	p.mux.HandleFunc("PUT "+objectstore.PathVMs+"/{name}", p.putVM)
	p.mux.HandleFunc("DELETE "+objectstore.PathVMs+"/{name}", p.deleteVM)
	p.mux.HandleFunc("POST /v1/faults", p.serveSetFaults)
	p.mux.HandleFunc("GET /v1/faults", func(w http.ResponseWriter, _ *http.Request) { reply(w, p.Faults(), nil) })
	p.mux.HandleFunc("GET /v1/calls", func(w http.ResponseWriter, _ *http.Request) { reply(w, p.Calls(), nil) })
}

// Store returns the store behind the API. Tests use it to write and inspect
// objects and VMs.
func (p *Platform) Store() *Store { return p.store }

// Handler returns the handler of the object API.
func (p *Platform) Handler() http.Handler { return p.mux }

// Start serves the API on a TCP address until stop is called.
func (p *Platform) Start(addr string) (baseURL string, stop func(), err error) {
	return upstream.Serve(addr, p.Handler())
}

func (p *Platform) get(w http.ResponseWriter, r *http.Request) {
	object, err := p.readStore().Get(r.Context(), r.PathValue("key"))
	reply(w, object, err)
}

func (p *Platform) list(w http.ResponseWriter, r *http.Request) {
	objects, version, err := p.readStore().List(r.Context(), r.URL.Query().Get(objectstore.ParamPrefix))
	reply(w, objectstore.ListAnswer{Objects: objects, Version: version}, err)
}

func (p *Platform) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, err := strconv.ParseUint(query.Get(objectstore.ParamAfter), 10, 64)
	if err != nil {
		reply(w, nil, objectstore.ErrInvalid)
		return
	}
	wait, err := time.ParseDuration(query.Get(objectstore.ParamWait))
	if err != nil {
		reply(w, nil, objectstore.ErrInvalid)
		return
	}
	objects, version, err := p.readStore().watch(r.Context(), query.Get(objectstore.ParamPrefix), objectstore.Version(after), wait)
	reply(w, objectstore.ListAnswer{Objects: objects, Version: version}, err)
}

func (p *Platform) put(w http.ResponseWriter, r *http.Request) {
	expected, err := expectedVersion(r.Header)
	if err != nil {
		reply(w, nil, err)
		return
	}
	var body objectstore.PutRequest
	if err := decodeBody(w, r, &body); err != nil {
		reply(w, nil, err)
		return
	}
	if p.consumeFault(func(f *Faults) *int { return &f.LoseWrites }) {
		panic(http.ErrAbortHandler)
	}
	version, err := p.store.Put(r.Context(), r.PathValue("key"), body.Value, expected)
	if err == nil && p.consumeFault(func(f *Faults) *int { return &f.LoseAnswers }) {
		panic(http.ErrAbortHandler)
	}
	reply(w, objectstore.PutAnswer{Version: version}, err)
}

func (p *Platform) listVMs(w http.ResponseWriter, r *http.Request) {
	lag := time.Duration(p.Faults().VMLagMs) * time.Millisecond
	list, err := p.store.vmsWithLag(r.Context(), lag)
	reply(w, objectstore.VMsAnswer{VMs: list}, err)
}

func (p *Platform) putVM(w http.ResponseWriter, r *http.Request) {
	var vm objectstore.VM
	if err := decodeBody(w, r, &vm); err != nil {
		reply(w, nil, err)
		return
	}
	vm.Name = r.PathValue("name")
	p.store.PutVM(vm)
	reply(w, vm, nil)
}

func (p *Platform) deleteVM(w http.ResponseWriter, r *http.Request) {
	p.store.DeleteVM(r.PathValue("name"))
	w.WriteHeader(http.StatusNoContent)
}

// expectedVersion returns the version that a conditional write expects; zero
// means that the object must not exist. A write without a condition is invalid.
func expectedVersion(header http.Header) (objectstore.Version, error) {
	if header.Get(objectstore.HeaderIfNoneMatch) == objectstore.MustNotExist {
		return 0, nil
	}
	quoted, err := strconv.Unquote(header.Get(objectstore.HeaderIfMatch))
	if err != nil {
		return 0, objectstore.ErrInvalid
	}
	version, err := strconv.ParseUint(quoted, 10, 64)
	if err != nil || version == 0 {
		return 0, objectstore.ErrInvalid
	}
	return objectstore.Version(version), nil
}

// maxBodyBytes limits a request's body, in bytes. It is enough for a value of
// the maximum size in base64 and the JSON around it.
const maxBodyBytes = objectstore.MaxValueBytes*4/3 + 1024

func decodeBody(w http.ResponseWriter, r *http.Request, into any) error {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		return objectstore.ErrInvalid
	}
	if err := json.Unmarshal(body, into); err != nil {
		return objectstore.ErrInvalid
	}
	return nil
}

// reply writes a JSON answer, or the error answer that corresponds to err.
func reply(w http.ResponseWriter, answer any, err error) {
	if err == nil {
		writeJSON(w, http.StatusOK, answer)
		return
	}
	var conflict *objectstore.ConflictError
	switch {
	case errors.As(err, &conflict):
		writeJSON(w, http.StatusPreconditionFailed, objectstore.ErrorAnswer{Code: objectstore.CodeConflict, Current: conflict.Current})
	case errors.Is(err, objectstore.ErrNotFound):
		writeJSON(w, http.StatusNotFound, objectstore.ErrorAnswer{Code: objectstore.CodeNotFound})
	case errors.Is(err, objectstore.ErrTooOld):
		writeJSON(w, http.StatusGone, objectstore.ErrorAnswer{Code: objectstore.CodeTooOld})
	case errors.Is(err, objectstore.ErrInvalid):
		writeJSON(w, http.StatusBadRequest, objectstore.ErrorAnswer{Code: objectstore.CodeInvalid, Message: err.Error()})
	default:
		// The caller left or the server is stopping. Closing the connection
		// leaves open whether the call took effect, which is unknown here.
		panic(http.ErrAbortHandler)
	}
}

func writeJSON(w http.ResponseWriter, status int, answer any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(answer)
}
