package upstream

import (
	"encoding/json"
	"net/http"
)

// drainRequest is the body of PUT /drain.
type drainRequest struct {
	Draining bool `json:"draining"`
}

// Mount registers the control paths that every stand-in upstream serves: GET
// /load, GET /ledger, PUT /drain, GET and PUT /faults, POST /crash and POST
// /restart.
func (h *Host) Mount(mux *http.ServeMux) {
	mux.HandleFunc("GET /load", h.DropWhileDown(func(w http.ResponseWriter, _ *http.Request) {
		WriteJSON(w, http.StatusOK, h.Load())
	}))
	mux.HandleFunc("GET /ledger", func(w http.ResponseWriter, _ *http.Request) {
		WriteJSON(w, http.StatusOK, h.ledger.Entries())
	})
	mux.HandleFunc("GET /faults", func(w http.ResponseWriter, _ *http.Request) {
		WriteJSON(w, http.StatusOK, h.Faults())
	})
	mux.HandleFunc("PUT /faults", func(w http.ResponseWriter, r *http.Request) {
		var faults Faults
		if ReadJSON(w, r, &faults) {
			h.SetFaults(faults)
			w.WriteHeader(http.StatusNoContent)
		}
	})
	mux.HandleFunc("PUT /drain", func(w http.ResponseWriter, r *http.Request) {
		var drain drainRequest
		if ReadJSON(w, r, &drain) {
			h.SetDraining(drain.Draining)
			w.WriteHeader(http.StatusNoContent)
		}
	})
	mux.HandleFunc("POST /crash", func(http.ResponseWriter, *http.Request) {
		h.Crash()
		panic(http.ErrAbortHandler)
	})
	mux.HandleFunc("POST /restart", h.serveRestart)
}

func (h *Host) serveRestart(w http.ResponseWriter, _ *http.Request) {
	if err := h.Restart(); err != nil {
		WriteJSON(w, http.StatusInternalServerError, rejectionAnswer{Error: Rejection{Message: err.Error()}})
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// ReadJSON decodes a request's body. If the body is not valid JSON, it answers
// with status 400 and returns false.
func ReadJSON(w http.ResponseWriter, r *http.Request, into any) bool {
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(into)
	if err != nil {
		WriteJSON(w, http.StatusBadRequest, rejectionAnswer{Error: Rejection{Message: err.Error()}})
	}
	return err == nil
}
