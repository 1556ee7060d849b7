package edge

import (
	"maps"
	"time"

	"github.com/figstile/figstile/coordination/placement"
	"github.com/figstile/figstile/protocol/peerpb"
	"github.com/figstile/figstile/state"
)

const (
	// maxPrompts limits the prompts that wait to be sent over a link. It is
	// more than a fleet places between two messages. The receivers do not know
	// of further prompts and assume that engines have not cached them.
	maxPrompts = 2000
	// maxRefusals limits the refusals that wait to be sent over a link.
	maxRefusals = 4096
)

// outbox holds the data that waits to be sent over a link.
type outbox struct {
	prompts []placement.PlacedPrompt
	refused []uint32
	// numbering holds the numbers of the upstreams that were sent to the peer.
	// Only publishLoadSums uses it.
	numbering upstreamNumbering
	// sentAt is the time of the last message to the peer, and fullSumsSentAt
	// that of the last message with all sums.
	sentAt, fullSumsSentAt time.Time
	// revisionSent is the revision of the configuration that was sent last.
	revisionSent uint64
}

func (o *outbox) add(prompts []placement.PlacedPrompt, refused []uint32) {
	o.prompts = append(o.prompts, prompts[:min(len(prompts), maxPrompts-len(o.prompts))]...)
	o.refused = append(o.refused, refused[:min(len(refused), maxRefusals-len(o.refused))]...)
}

// outboxes returns a copy of the map of outboxes by peer.
func (f *fleet) outboxes() map[state.Router]*outbox {
	f.mu.Lock()
	defer f.mu.Unlock()
	return maps.Clone(f.linkOutboxes)
}

// enqueue adds prompts and refusals to the outboxes of all links but one.
// Refusals are only sent within the data centre, as refused callers retry
// there.
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

// inSameDataCentre reports whether a peer is in this router's data centre. The
// caller holds the lock.
func (f *fleet) inSameDataCentre(router state.Router) bool {
	dc, ok := f.overlay.DataCentre(router)
	return ok && dc == f.self.DataCentre
}

// publishLoadSums sends over each link the load sums of this side, or those
// that changed, together with the content of the outbox.
func (f *fleet) publishLoadSums(now time.Time) {
	revision := f.catalogue.contentSummary().ConfigRevision
	for router, box := range f.outboxes() {
		f.mu.Lock()
		prompts, refused := box.prompts, box.refused
		box.prompts, box.refused = nil, nil
		all := now.Sub(box.fullSumsSentAt) >= fullSumsInterval
		f.mu.Unlock()
		loads := f.dispatcher.takeLoadSums(router, all)
		if !all && revision == box.revisionSent && len(loads)+len(prompts)+len(refused) == 0 && now.Sub(box.sentAt) < heartbeatInterval {
			continue
		}
		message := box.numbering.loadsMessage(loads, prompts)
		message.Full, message.Refused = all, refused
		if all || revision != box.revisionSent {
			message.ConfigRevision, box.revisionSent = revision, revision
		}
		f.mesh.Send(router, &peerpb.Envelope{Body: &peerpb.Envelope_Loads{Loads: message}})
		box.sentAt = now
		if all {
			box.fullSumsSentAt = now
		}
	}
}
