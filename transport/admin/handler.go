package admin

import (
	"crypto/rand"
	"net/http"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"github.com/figstile/figstile/state/config"
	"github.com/figstile/figstile/state/result"
	"github.com/figstile/figstile/transport/settings"
)

// Drainer begins a planned stop of the router.
type Drainer interface {
	// Drain returns at once; the stop continues until the last request in
	// progress has ended. A second call does nothing.
	Drain()
}

// Options configure a Handler.
type Options struct {
	Source *settings.Source
	Writer *settings.Writer
	Status StatusSource
	Drain  Drainer
	// Peers may be nil if the router has no peers.
	Peers PeerSource
	// Client is used to read the status of other routers; nil means
	// http.DefaultClient.
	Client *http.Client
	// FleetToken authenticates routers to each other when they read status.
	FleetToken string
	// BootstrapDigests contains the digests of operator tokens that are valid
	// until the first root is in force.
	BootstrapDigests []config.Digest
	Log              zerolog.Logger
	// Now returns the time that is recorded for a change; nil means the
	// system's clock.
	Now func() time.Time
	// NewID returns a new change ID; nil means a random ID.
	NewID func() string
}

// Handler serves the administration API.
type Handler struct {
	options Options
	mux     *http.ServeMux
}

// New returns a Handler with the given options.
func New(options Options) *Handler {
	if options.Now == nil {
		options.Now = time.Now
	}
	if options.NewID == nil {
		options.NewID = rand.Text
	}
	if options.Client == nil {
		options.Client = http.DefaultClient
	}
	h := &Handler{options: options, mux: http.NewServeMux()}
	h.routes()
	return h
}

// ServeHTTP serves one request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.mux.ServeHTTP(w, r)
}

// call is one authenticated request with its response writer.
type call struct {
	w http.ResponseWriter
	r *http.Request
	actor
}

// routeFunc serves a call, or returns the error with which to refuse it.
type routeFunc func(c *call) error

func (h *Handler) routes() {
	h.handle("GET /config", h.listObjects)
	h.handle("GET /config/{key...}", h.getObject)
	h.handle("PUT /config/{key...}", h.putObject)
	h.handle("GET /history/{key...}", h.getHistory)

	h.handle("GET /teams", h.listTeams)
	h.handle("POST /teams", operatorsOnly(h.createTeam))
	h.handle("PUT /teams/{team}/share", operatorsOnly(h.setShare))
	h.handle("POST /teams/{team}/tokens", operatorsOnly(h.addTeamToken))
	h.handle("DELETE /teams/{team}/tokens/{digest}", operatorsOnly(h.removeTeamToken))
	h.handle("DELETE /teams/{team}", operatorsOnly(h.deleteTeam))

	h.handle("GET /workspaces", h.listWorkspaces)
	h.handle("POST /teams/{team}/workspaces", ownTeamOnly(h.createWorkspace))
	h.handle("PUT /teams/{team}/workspaces/{workspace}/weight", ownTeamOnly(h.setWeight))
	h.handle("POST /teams/{team}/workspaces/{workspace}/tokens", ownTeamOnly(h.addToken))
	h.handle("DELETE /teams/{team}/workspaces/{workspace}/tokens/{digest}", ownTeamOnly(h.removeToken))
	h.handle("DELETE /teams/{team}/workspaces/{workspace}", ownTeamOnly(h.deleteWorkspace))

	h.handle("GET /upstreams", operatorsOnly(h.listUpstreams))
	h.handle("POST /upstreams/{upstream}/drain", operatorsOnly(h.setDraining(true)))
	h.handle("POST /upstreams/{upstream}/resume", operatorsOnly(h.setDraining(false)))

	h.mux.HandleFunc("GET "+Prefix+"/status", h.serveStatus)
	h.handle("GET /fleet", operatorsOnly(h.getFleet))
	h.handle("POST /drain", operatorsOnly(h.drain))
	h.mux.HandleFunc(Prefix+"/", func(w http.ResponseWriter, r *http.Request) {
		writeProblem(w, result.New(result.NotFound, "no "+r.Method+" "+r.URL.Path+" in this API"))
	})
}

// handle registers a route for administrators. The pattern consists of a method
// and a path below Prefix.
func (h *Handler) handle(pattern string, serve routeFunc) {
	method, path, _ := strings.Cut(pattern, " ")
	h.mux.HandleFunc(method+" "+Prefix+path, func(w http.ResponseWriter, r *http.Request) {
		c := &call{w: w, r: r}
		err := h.serve(c, serve)
		if err != nil {
			h.refuse(c, err)
		}
	})
}

func (h *Handler) serve(c *call, serve routeFunc) error {
	a, err := h.authenticate(c.r)
	if err != nil {
		return err
	}
	c.actor = a
	return serve(c)
}

func (h *Handler) refuse(c *call, err error) {
	res := writeProblem(c.w, err)
	line := h.options.Log.Info()
	if res.Code == result.Internal {
		line = h.options.Log.Error()
	}
	line.Str("event", "admin_refused").Str("method", c.r.Method).Str("path", c.r.URL.Path).
		Str("by", c.name).Uint16("code", uint16(res.Code)).Err(err).Send()
}

// operatorsOnly restricts a route to operators.
func operatorsOnly(serve routeFunc) routeFunc {
	return func(c *call) error {
		if !c.isOperator() {
			return accessDenied("what only operators change")
		}
		return serve(c)
	}
}

// ownTeamOnly restricts a route below /teams/{team} to operators and the
// administrators of that team.
func ownTeamOnly(serve routeFunc) routeFunc {
	return func(c *call) error {
		if !c.mayAccessTeam(c.team()) {
			return accessDenied("team " + string(c.team()))
		}
		return serve(c)
	}
}

func (h *Handler) drain(c *call) error {
	h.options.Log.Info().Str("event", "drain_requested").Str("by", c.name).Send()
	h.options.Drain.Drain()
	writeJSON(c.w, http.StatusAccepted, DrainResult{Router: h.options.Status.Status().Router, Draining: true})
	return nil
}
