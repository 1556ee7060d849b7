package edge

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/figstile/figstile/state"
	"github.com/figstile/figstile/state/directory"
	"github.com/figstile/figstile/state/routing"
	"github.com/figstile/figstile/transport/ingress"
)

// fakeClock is a clock that tests set.
type fakeClock struct{ at time.Time }

func newClock() *fakeClock                   { return &fakeClock{at: time.Unix(5000, 0)} }
func (c *fakeClock) now() time.Time          { return c.at }
func (c *fakeClock) advance(d time.Duration) { c.at = c.at.Add(d) }

// fakePlatform answers calls with the test's functions. Its formats are the
// project's own types, encoded as JSON.
type fakePlatform struct {
	mu    sync.Mutex
	list  func(kind Kind) ([]Object, uint64, error)
	watch func(kind Kind, after uint64) ([]Object, uint64, error)
	calls []string
}

func (p *fakePlatform) List(_ context.Context, kind Kind) ([]Object, uint64, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls = append(p.calls, "list")
	return p.list(kind)
}

func (p *fakePlatform) Watch(_ context.Context, kind Kind, after uint64, _ time.Duration) ([]Object, uint64, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls = append(p.calls, "watch")
	return p.watch(kind, after)
}

func (*fakePlatform) DecodeConfig(spec []byte, _ func()) (routing.Config, error) {
	var config routing.Config
	err := json.Unmarshal(spec, &config)
	return config, err
}

func (*fakePlatform) DecodeUpstream(name string, spec []byte) (directory.Upstream, error) {
	var u directory.Upstream
	if err := json.Unmarshal(spec, &u); err != nil && u.Address == "" {
		return directory.Upstream{}, err
	} else if err != nil {
		u.ID = state.Upstream(name)
		return u, fmt.Errorf("%w: %w", ErrInvalidColdTime, err)
	}
	if u.Address == "" {
		return directory.Upstream{}, errors.New("no address")
	}
	u.ID = state.Upstream(name)
	return u, nil
}

func (*fakePlatform) ParseRequestHeaders(http.Header) (ingress.Inbound, error) {
	return ingress.Inbound{}, nil
}
func (*fakePlatform) SetUpstreamHeaders(http.Header, ingress.Outbound) {}
func (*fakePlatform) ParseAnswerHeaders(int, http.Header) ingress.AnswerHead {
	return ingress.AnswerHead{}
}
func (*fakePlatform) SetRetryAfter(http.Header, time.Duration) {}
func (*fakePlatform) AttemptHeader() string                    { return "Attempt" }

func configObject(revision, version uint64) Object {
	spec, _ := json.Marshal(routing.Config{Version: version, Services: []routing.Service{{Name: "s"}}})
	return Object{Name: "main", Revision: revision, Spec: spec}
}

func upstreamObject(name string, revision uint64, leaving bool) Object {
	spec, _ := json.Marshal(directory.Upstream{Service: "s", Address: "10.0.0.1:80", DataCentre: "dc", Slots: 2, Leaving: leaving})
	return Object{Name: name, Revision: revision, Spec: spec}
}

// coldUpstream returns an upstream's entry with the given cold time, in
// nanoseconds.
func coldUpstream(name string, revision uint64, coldFor string) Object {
	spec := `{"Service":"s","Address":"10.0.0.1:80","DataCentre":"dc","Slots":2,"ColdFor":` + coldFor + `}`
	return Object{Name: name, Revision: revision, Spec: []byte(spec)}
}

func removal(name string, revision uint64) Object {
	return Object{Name: name, Revision: revision, Removed: true}
}

// fixture holds the dispatcher and the catalogue of a router without sockets.
type fixture struct {
	clock      *fakeClock
	platform   *fakePlatform
	dispatcher *dispatcher
	catalogue  *catalogue
}

func newFixture() *fixture {
	f := &fixture{clock: newClock(), platform: &fakePlatform{}}
	f.dispatcher = newDispatcher(Settings{DataCentre: "dc"}, f.clock.now)
	f.catalogue = newCatalogue(f.platform, f.dispatcher, zerolog.Nop(), f.clock.now)
	return f
}

func (f *fixture) usableUpstreams() int { return f.dispatcher.loadView.CountUsable("s") }

// testWatchPeriods are the waits of the calls that the routers of tests make to
// the store.
var testWatchPeriods = map[Kind]time.Duration{KindConfig: defaultConfigLimit / 2, KindUpstream: upstreamWatchPeriod(defaultLeaveLimit)}

// storeAnswers simulates that the store answers a router's calls and holds
// nothing newer than the router.
func (f *fleet) storeAnswers() {
	for kind := range f.watchPeriods {
		f.onStoreAnswer(kind, f.now())
	}
}

// storeFails simulates that a router's calls to the store fail.
func (f *fleet) storeFails() {
	for kind := range f.watchPeriods {
		f.onStoreFailure(kind)
	}
}
