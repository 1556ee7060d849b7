package caller

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/figstile/figstile/state"
	"github.com/figstile/figstile/state/result"
)

type fixedIssuer struct{ res result.Result }

func (f fixedIssuer) Issue(ws state.Workspace) (string, time.Time, result.Result) {
	return "fk1:" + string(ws), time.Unix(0, 0).UTC(), f.res
}

func TestKeysHandler(t *testing.T) {
	call := func(method, token string, res result.Result) *httptest.ResponseRecorder {
		handler := &KeysHandler{Router: "pudahuel-1", DataCentre: "pudahuel", Settings: fakeView{}, Issuer: fixedIssuer{res}}
		r := httptest.NewRequest(method, KeysPath, nil)
		r.Header.Set("Authorization", "Bearer "+token)
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, r)
		return w
	}
	w := call(http.MethodPost, "secret", result.New(result.OK, ""))
	require.Equal(t, http.StatusOK, w.Code)
	var key IssuedKey
	require.NoError(t, json.Unmarshal(w.Body.Bytes(), &key))
	require.Equal(t, IssuedKey{Key: "fk1:comillas", Expires: time.Unix(0, 0).UTC(), Router: "pudahuel-1", DataCentre: "pudahuel"}, key)
	require.Equal(t, http.StatusUnauthorized, call(http.MethodGet, "wrong", result.New(result.OK, "")).Code)
	require.Equal(t, http.StatusBadRequest, call(http.MethodPut, "secret", result.New(result.OK, "")).Code)
	require.Equal(t, http.StatusServiceUnavailable, call(http.MethodGet, "secret", result.New(result.Draining, "")).Code)
}
