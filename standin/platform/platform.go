package platform

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/figstile/figstile/standin/upstream"
	"github.com/figstile/figstile/transport/objectstore"
)

// Options sets up a Platform. The zero value is usable.
type Options struct {
	Store StoreOptions
}

// Platform serves a Store over HTTP.
type Platform struct {
	store *Store
	mux   *http.ServeMux
}

// New returns a platform with an empty store.
func New(opts Options) *Platform {
	p := &Platform{store: NewStore(opts.Store), mux: http.NewServeMux()}
	p.mux.HandleFunc("GET "+objectstore.PathObjects+"/{key...}", p.get)
	p.mux.HandleFunc("PUT "+objectstore.PathObjects+"/{key...}", p.put)
	p.mux.HandleFunc("GET "+objectstore.PathObjects, p.list)
	p.mux.HandleFunc("GET "+objectstore.PathWatch, p.watch)
	p.mux.HandleFunc("GET "+objectstore.PathVMs, p.vms)
	p.mux.HandleFunc("PUT "+objectstore.PathVMs+"/{name}", p.putVM)
	p.mux.HandleFunc("DELETE "+objectstore.PathVMs+"/{name}", p.deleteVM)
	return p
}

// Store returns the store behind the API, for tests to set up and look into.
func (p *Platform) Store() *Store { return p.store }

// Handler returns the object API.
func (p *Platform) Handler() http.Handler { return p.mux }

// Start serves the API on a TCP address until stop is called.
func (p *Platform) Start(addr string) (baseURL string, stop func(), err error) {
	return upstream.Serve(addr, p.Handler())
}

func (p *Platform) get(w http.ResponseWriter, r *http.Request) {
	object, err := p.store.Get(r.Context(), r.PathValue("key"))
	reply(w, object, err)
}

func (p *Platform) list(w http.ResponseWriter, r *http.Request) {
	objects, version, err := p.store.List(r.Context(), r.URL.Query().Get(objectstore.ParamPrefix))
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
	objects, version, err := p.store.watch(r.Context(), query.Get(objectstore.ParamPrefix), objectstore.Version(after), wait)
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
	version, err := p.store.Put(r.Context(), r.PathValue("key"), body.Value, expected)
	reply(w, objectstore.PutAnswer{Version: version}, err)
}

func (p *Platform) vms(w http.ResponseWriter, r *http.Request) {
	list, err := p.store.VMs(r.Context())
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

// expectedVersion reads the condition of a write, which must have one.
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

// maxBodyBytes holds a value of full size in base64 and its JSON frame.
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

// reply writes a JSON answer, or the error answer that err stands for.
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
		// The caller left or the server stops: no answer is the truth.
		panic(http.ErrAbortHandler)
	}
}

func writeJSON(w http.ResponseWriter, status int, answer any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(answer)
}
