package admin

import (
	"net/http"

	"github.com/figstile/figstile/state"
	"github.com/figstile/figstile/state/config"
)

func (h *Handler) listUpstreams(c *call) error {
	v, err := h.view()
	if err != nil {
		return err
	}
	list := UpstreamList{Upstreams: make([]UpstreamDocument, 0)}
	for _, s := range v.Root().Services {
		for _, u := range s.Upstreams {
			list.Upstreams = append(list.Upstreams, UpstreamDocument{Upstream: u, Service: s.Name})
		}
	}
	writeJSON(c.w, http.StatusOK, list)
	return nil
}

func (h *Handler) setDraining(draining bool) routeFunc {
	return func(c *call) error {
		name := state.Upstream(c.r.PathValue("upstream"))
		summary := "resumed upstream " + string(name)
		if draining {
			summary = "drained upstream " + string(name)
		}
		return answerEdit(h, c, editRoot(summary, func(r *config.Root) error {
			u := findUpstream(r, name)
			if u == nil {
				return notFound("upstream " + string(name))
			}
			u.Draining = draining
			return nil
		}))
	}
}

func findUpstream(r *config.Root, name state.Upstream) *config.Upstream {
	for i := range r.Services {
		for j := range r.Services[i].Upstreams {
			if r.Services[i].Upstreams[j].Name == name {
				return &r.Services[i].Upstreams[j]
			}
		}
	}
	return nil
}
