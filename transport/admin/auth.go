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

// actor is the administrator who makes a request.
type actor struct {
	principal config.Principal
	// name identifies the actor in the history of changes and in logs.
	name string
}

func (a actor) isOperator() bool {
	return a.principal.Kind == config.Operator
}

// mayAccessTeam reports whether the actor may read and change a team's subtree.
func (a actor) mayAccessTeam(team state.Team) bool {
	return a.isOperator() || a.principal.Kind == config.TeamAdmin && a.principal.Team == team
}

// mayAccessKey reports whether the actor may read and change an object.
func (a actor) mayAccessKey(key string) bool {
	if team, ok := config.TeamOf(key); ok {
		return a.mayAccessTeam(team)
	}
	return a.isOperator()
}

func accessDenied(what string) error {
	return result.New(result.ConfigOutside, "the token does not reach "+what)
}

// authenticate returns the administrator who makes a request. The tokens of
// callers are recognised, but give access to nothing in this API.
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
		return actor{}, accessDenied("the administration")
	}
	return actor{principal: principal, name: actorName(principal, token)}, nil
}

func (h *Handler) principal(token string) (config.Principal, bool) {
	view := h.options.Source.View()
	if view != nil {
		return view.Authenticate(token)
	}
	// A fleet without a root has no operator tokens, so the first root could
	// never be written. The tokens from the start-up settings are valid only
	// until there is a root.
	known := slices.Contains(h.options.BootstrapDigests, config.DigestOf(token))
	return config.Principal{Kind: config.Operator}, known
}

// unknownToken returns the error for an unrecognised token. While the router
// has no settings, the error is that the router is not ready: during a cold
// start, an unauthorized error would mislead an operator whose token is right.
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

// isFromRouter reports whether a request has the fleet token of other routers.
// An empty fleet token grants access to no request.
func (h *Handler) isFromRouter(r *http.Request) bool {
	want := config.DigestOf(h.options.FleetToken)
	got := config.DigestOf(bearerToken(r))
	return h.options.FleetToken != "" && subtle.ConstantTimeCompare(want[:], got[:]) == 1
}
