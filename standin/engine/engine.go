// Package engine is a stand-in for a model engine. It serves chat completions
// with continuous batching, load reports with a lag, and orders to load and
// unload models.
package engine

import (
	"net/http"
	"time"

	"github.com/figstile/figstile/standin/upstream"
)

// Options configures an Engine.
type Options struct {
	upstream.Options
	// PrefillDelay is the delay before the first token.
	PrefillDelay time.Duration
	// TokenDelay is the delay before each token.
	TokenDelay time.Duration
	// DefaultTokens is the output length of a request that doesn't set one.
	DefaultTokens int
	// ChecksFencing makes the engine reject orders whose fencing number is
	// lower than the highest one received.
	ChecksFencing bool
	// LoadDelay is the time that an order takes to load a model.
	LoadDelay time.Duration
}

// Engine serves chat completions and orders.
type Engine struct {
	*upstream.Host
	opts   Options
	orders orderLog
	mux    *http.ServeMux
}

// defaultTokens is the length of a short text, in tokens.
const defaultTokens = 16

// New returns an engine.
func New(opts Options) *Engine {
	if opts.DefaultTokens <= 0 {
		opts.DefaultTokens = defaultTokens
	}
	e := &Engine{Host: upstream.NewHost(opts.Options), opts: opts, mux: http.NewServeMux()}
	e.Mount(e.mux)
	e.mux.HandleFunc("POST /v1/chat/completions", func(w http.ResponseWriter, r *http.Request) { e.Run(w, r, e.plan) })
	e.mux.HandleFunc("POST /orders", e.DropWhileDown(e.serveOrder))
	e.mux.HandleFunc("GET /orders", e.DropWhileDown(e.serveOrders))
	return e
}

// Handler returns the engine's HTTP interface.
func (e *Engine) Handler() http.Handler { return e.mux }

// Start serves the engine on a TCP address until stop is called.
func (e *Engine) Start(addr string) (baseURL string, stop func(), err error) {
	return e.Host.Start(addr, e.mux)
}
