package admin

import (
	"crypto/subtle"
	"net/http"
	"slices"
	"strings"

	"github.com/figstile/figstile/state"
	"github.com/figstile/figstile/state/config"
	"github.com/figstile/figstile/state/result"
)

// actor is who makes a request.
type actor struct {
	principal config.Principal
	// name goes into the history of changes and into logs.
	name string
}

func (a actor) isOperator() bool {
	return a.principal.Kind == config.Operator
}

// mayAccessTeam tells whether the actor may read and change a team's subtree.
func (a actor) mayAccessTeam(team state.Team) bool {
	return a.isOperator() || a.principal.Kind == config.TeamAdmin && a.principal.Team == team
}

// mayAccessKey tells whether the actor may read and change an object.
func (a actor) mayAccessKey(key string) bool {
	if team, ok := config.TeamOf(key); ok {
		return a.mayAccessTeam(team)
	}
	return a.isOperator()
}

func outOfReach(what string) error {
	return result.New(result.ConfigOutside, "the token does not reach "+what)
}

// authenticate finds the administrator behind a request. Callers' tokens are
// known but reach nothing here.
func (h *Handler) authenticate(r *http.Request) (actor, error) {
	token := bearerToken(r)
	if token == "" {
		return actor{}, result.New(result.Unauthorized, "a bearer token is needed")
	}
	principal, ok := h.principal(token)
	if !ok {
		return actor{}, h.unknownToken()
	}
	if principal.Kind == config.Caller {
		return actor{}, outOfReach("the administration")
	}
	return actor{principal: principal, name: actorName(principal, token)}, nil
}

func (h *Handler) principal(token string) (config.Principal, bool) {
	view := h.options.Source.View()
	if view != nil {
		return view.Authenticate(token)
	}
	// A fleet without a root knows no operator, so the first root could
	// never be written. The start-up setting counts only until there is one.
	known := slices.Contains(h.options.BootstrapDigests, config.DigestOf(token))
	return config.Principal{Kind: config.Operator}, known
}

// unknownToken says nothing of the token while no settings are held: a router
// that starts cold would tell an operator that his token is wrong.
func (h *Handler) unknownToken() error {
	if h.options.Source.Ready() {
		return result.New(result.Unauthorized, "the token is not known")
	}
	return result.New(result.NotReady, "")
}

func actorName(p config.Principal, token string) string {
	short := config.DigestOf(token).Short()
	if p.Kind == config.TeamAdmin {
		return p.Kind.String() + "/" + string(p.Team) + "/" + short
	}
	return p.Kind.String() + "/" + short
}

func bearerToken(r *http.Request) string {
	scheme, token, ok := strings.Cut(r.Header.Get("Authorization"), " ")
	if !ok || !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return strings.TrimSpace(token)
}

// isFromRouter tells whether another router asks. An empty fleet token admits
// nobody.
func (h *Handler) isFromRouter(r *http.Request) bool {
	want := config.DigestOf(h.options.FleetToken)
	got := config.DigestOf(bearerToken(r))
	return h.options.FleetToken != "" && subtle.ConstantTimeCompare(want[:], got[:]) == 1
}
