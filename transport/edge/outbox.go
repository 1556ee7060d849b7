package edge

import (
	"maps"
	"time"

	"github.com/figstile/figstile/coordination/placement"
	"github.com/figstile/figstile/protocol/peerpb"
	"github.com/figstile/figstile/state"
)

const (
	// maxPrompts bounds the prompts that wait for a link. It is more than a
	// fleet places between two messages; what is left out, engines are believed
	// not to hold.
	maxPrompts = 2000
	// maxRefusals bounds the refusals that wait for a link.
	maxRefusals = 4096
)

// outbox is what waits to be told over a link.
type outbox struct {
	prompts []placement.PlacedPrompt
	refused []uint32
	// numbering is of the upstreams that the peer was told of; used by
	// publishSums alone.
	numbering upstreamNumbering
	// sentAt is when the peer was last told anything, summed when it was told all
	// sums.
	sentAt, fullSumsSentAt time.Time
}

func (o *outbox) add(prompts []placement.PlacedPrompt, refused []uint32) {
	o.prompts = append(o.prompts, prompts[:min(len(prompts), maxPrompts-len(o.prompts))]...)
	o.refused = append(o.refused, refused[:min(len(refused), maxRefusals-len(o.refused))]...)
}

// outboxes returns those of all links by peer.
func (f *fleet) outboxes() map[state.Router]*outbox {
	f.mu.Lock()
	defer f.mu.Unlock()
	return maps.Clone(f.linkOutboxes)
}

// enqueue queues prompts and refusals for all links but one. Refusals stay in
// their data centre, where callers come back.
func (f *fleet) enqueue(prompts []placement.PlacedPrompt, refused []uint32, except state.Router) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for router, box := range f.linkOutboxes {
		if router == except {
			continue
		}
		if !f.inSameDataCentre(router) {
			box.add(prompts, nil)
			continue
		}
		box.add(prompts, refused)
	}
}

// inSameDataCentre says whether a peer is of this data centre. The caller holds the lock.
func (f *fleet) inSameDataCentre(router state.Router) bool {
	dc, ok := f.overlay.DataCentre(router)
	return ok && dc == f.self.DataCentre
}

// publishLoadSums tells each link the sums of this side, or what changed of them,
// with what waits for it.
func (f *fleet) publishLoadSums(now time.Time) {
	for router, box := range f.outboxes() {
		f.mu.Lock()
		prompts, refused := box.prompts, box.refused
		box.prompts, box.refused = nil, nil
		all := now.Sub(box.fullSumsSentAt) >= fullSumsInterval
		f.mu.Unlock()
		loads := f.dispatcher.takeLoadSums(router, all)
		if !all && len(loads)+len(prompts)+len(refused) == 0 && now.Sub(box.sentAt) < heartbeatInterval {
			continue
		}
		message := box.numbering.loadsMessage(loads, prompts)
		message.Full, message.Refused = all, refused
		f.mesh.Send(router, &peerpb.Envelope{Body: &peerpb.Envelope_Loads{Loads: message}})
		box.sentAt = now
		if all {
			box.fullSumsSentAt = now
		}
	}
}
