package caller

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/figstile/figstile/state"
	"github.com/figstile/figstile/state/result"
	"github.com/figstile/figstile/transport/problem"
)

// KeysPath is the path at which callers fetch idempotency keys.
const KeysPath = "/figstile/v1/keys"

// Issuer issues idempotency keys that are valid only at this router.
type Issuer interface {
	// Issue returns a key for a workspace and the time at which it expires, or
	// a refusal.
	Issue(ws state.Workspace) (key string, until time.Time, res result.Result)
}

// IssuedKey is the JSON answer to a request for an idempotency key.
type IssuedKey struct {
	Key        string           `json:"key"`
	Expires    time.Time        `json:"expires"`
	Router     state.Router     `json:"router"`
	DataCentre state.DataCentre `json:"data_centre"`
}

// KeysHandler serves KeysPath for GET and POST.
type KeysHandler struct {
	Router     state.Router
	DataCentre state.DataCentre
	Settings   Settings
	Issuer     Issuer
}

// ServeHTTP issues one idempotency key to an authenticated caller.
func (h *KeysHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	key, res := h.issue(r)
	if res.Code != result.OK {
		problem.Write(w, res)
		return
	}
	header := w.Header()
	problem.SetResult(header, res.WithRan(result.RanNo))
	header.Set("Content-Type", "application/json")
	header.Set("Cache-Control", "no-store")
	_ = json.NewEncoder(w).Encode(key)
}

func (h *KeysHandler) issue(r *http.Request) (IssuedKey, result.Result) {
	if r.Method != http.MethodGet && r.Method != http.MethodPost {
		return IssuedKey{}, result.New(result.BadRequest, "Keys are fetched by GET or POST.")
	}
	view := h.Settings.View()
	if view == nil {
		return IssuedKey{}, result.New(result.NotReady, "")
	}
	workspace, ok := view.AuthenticateCaller(bearerToken(r.Header))
	if !ok {
		return IssuedKey{}, result.New(result.Unauthorized, "")
	}
	key, expires, res := h.Issuer.Issue(workspace)
	return IssuedKey{Key: key, Expires: expires, Router: h.Router, DataCentre: h.DataCentre}, res
}
