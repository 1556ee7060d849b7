package edge

import (
	"context"
	"time"

	"github.com/figstile/figstile/coordination/quarantine"
	"github.com/figstile/figstile/coordination/shares"
	"github.com/figstile/figstile/protocol/peerpb"
	"github.com/figstile/figstile/state"
)

// run tells peers of loads and spending until the context ends.
func (f *fleet) run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	// urgent fires when a long prompt has waited its gap.
	urgent := time.NewTimer(time.Hour)
	urgent.Stop()
	defer urgent.Stop()
	waiting := false
	var last publishTimes
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.dispatcher.urgentPublish:
			if !waiting {
				waiting = true
				urgent.Reset(max(f.urgentInterval()-f.now().Sub(last.loadsSentAt), 0))
			}
		case <-urgent.C:
			waiting = false
			last.loadsSentAt = f.publishLoads(f.now(), last.loadsSentAt)
		case <-ticker.C:
			f.publishConfirmedRemovals()
			f.checkStalled()
			f.tickOverlay()
			f.fetchCatalogue()
			f.fetchAnnouncedConfig()
			f.publishDue(&last)
		}
	}
}

func (f *fleet) urgentInterval() time.Duration {
	peers, tree := f.receivers()
	if !tree {
		return minUrgentGap
	}
	return max(minUrgentGap, time.Duration(len(peers))*urgentGapPerLink)
}

// publishConfirmedRemovals tells peers of upstreams that are gone after it was in doubt.
func (f *fleet) publishConfirmedRemovals() {
	if removed := f.catalogue.confirmDueRemovals(); len(removed) > 0 {
		f.publishObjects(KindUpstream, removed)
	}
}

// publishTimes are when peers were last told of what.
type publishTimes struct {
	readingSent    bool
	readingSentAt  time.Time
	loadsSentAt    time.Time
	spendingSentAt time.Time
}

// publishDue tells peers what is due.
func (f *fleet) publishDue(last *publishTimes) {
	now := f.now()
	f.publishReading(now, last)
	if now.Sub(last.loadsSentAt) >= loadsInterval {
		last.loadsSentAt = f.publishLoads(now, last.loadsSentAt)
	}
	if now.Sub(last.spendingSentAt) >= spendingInterval {
		last.spendingSentAt = now
		f.publishSpending(now)
	}
}

// publishReading tells all peers that this router follows the store, and once
// that it no longer does.
func (f *fleet) publishReading(now time.Time, last *publishTimes) {
	reading := f.mayClaimReading()
	if reading == last.readingSent && (!reading || now.Sub(last.readingSentAt) < heartbeatInterval) {
		return
	}
	last.readingSent, last.readingSentAt = reading, now
	env := f.readingEnvelope(reading)
	env.GetReading().Router = string(f.self.Router)
	peers, _ := f.receivers()
	f.mesh.SendEach(peers, env)
}

// publishLoads tells what has changed, or after a while that nothing has, and
// returns when peers were last told.
func (f *fleet) publishLoads(now, last time.Time) time.Time {
	placed, refused := f.dispatcher.takePlacedPrompts(), f.dispatcher.takeRefusedRequests()
	peers, tree := f.receivers()
	if tree {
		f.enqueue(placed, refused, "")
		f.publishLoadSums(now)
		return now
	}
	loads := f.dispatcher.takeChangedLoads()
	if len(loads) == 0 && len(placed) == 0 && len(refused) == 0 && now.Sub(last) < heartbeatInterval {
		return last
	}
	message := new(upstreamNumbering).loadsMessage(loads, placed)
	message.Refused = refused
	f.mesh.SendEach(peers, &peerpb.Envelope{Body: &peerpb.Envelope_Loads{Loads: message}})
	return now
}

func (f *fleet) publishSpending(now time.Time) {
	peers, tree := f.receivers()
	if tree {
		for _, router := range peers {
			if usage := f.dispatcher.spendingForLink(router); len(usage) > 0 {
				f.mesh.Send(router, spendingEnvelope(usage))
			}
		}
		return
	}
	if usage := f.dispatcher.ownSpending(); len(usage) > 0 {
		f.mesh.SendEach(peers, spendingEnvelope(usage))
	}
}

// sendLostRequest tells peers of a request under which an upstream fell.
func (f *fleet) sendLostRequest(fingerprint state.Fingerprint, run quarantine.Run) {
	peers, _ := f.receivers()
	f.mesh.SendEach(peers, &peerpb.Envelope{Body: &peerpb.Envelope_Crash{Crash: &peerpb.Crash{
		Fingerprint: uint64(fingerprint), Upstream: string(run.Upstream), Boot: run.Boot,
	}}})
}

func (f *fleet) readingEnvelope(reads bool) *peerpb.Envelope {
	holding := f.catalogue.contentSummary()
	return &peerpb.Envelope{Body: &peerpb.Envelope_Reading{Reading: &peerpb.Reading{
		Store: reads, ConfigRevision: holding.ConfigRevision, Upstreams: holding.UpstreamsDigest,
	}}}
}

func spendingEnvelope(usage map[state.Workspace]shares.Usage) *peerpb.Envelope {
	message := &peerpb.Spending{}
	for ws, u := range usage {
		message.Entries = append(message.Entries, &peerpb.WorkspaceSpending{
			Workspace: string(ws), Asked: uint64(u.Requested), Admitted: uint64(u.Admitted),
		})
	}
	return &peerpb.Envelope{Body: &peerpb.Envelope_Spending{Spending: message}}
}
