package edge

import (
	"context"
	"time"

	"github.com/figstile/figstile/coordination/shares"
	"github.com/figstile/figstile/protocol/peerpb"
	"github.com/figstile/figstile/state"
)

// run sends loads and workspace usage to peers and runs the fleet's periodic
// task until the context ends.
func (f *fleet) run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	// urgent fires when the minimum gap for a report of a long prompt has
	// passed.
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
			f.publishLoads(f.now(), &last)
		case <-ticker.C:
			f.progressed()
			f.publishConfirmedRemovals()
			f.checkStalled()
			f.tickOverlay()
			f.fetchCatalogue()
			f.fetchAnnouncedConfig()
			f.reportLaggingConfig()
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

// publishConfirmedRemovals sends to peers the removals of upstreams that were
// pending and are now confirmed.
func (f *fleet) publishConfirmedRemovals() {
	if removed := f.catalogue.confirmDueRemovals(); len(removed) > 0 {
		f.publishObjects(KindUpstream, removed)
	}
}

// publishTimes records when each kind of report was last sent to peers.
type publishTimes struct {
	readingSent   bool
	readingSentAt time.Time
	// readingConfirmedAt is the time of the store's confirmation that was sent
	// last.
	readingConfirmedAt time.Time
	loadsSentAt        time.Time
	// revisionSent is the revision of the configuration that was sent last, at
	// revisionSentAt, while every router reports to every other.
	revisionSent   uint64
	revisionSentAt time.Time
	spendingSentAt time.Time
}

// publishDue sends the reports that are due.
func (f *fleet) publishDue(last *publishTimes) {
	now := f.now()
	f.publishReading(now, last)
	if now.Sub(last.loadsSentAt) >= loadsInterval {
		f.publishLoads(now, last)
	}
	if now.Sub(last.spendingSentAt) >= spendingInterval {
		last.spendingSentAt = now
		f.publishSpending(now)
	}
}

// publishLoads sends changed loads, or a heartbeat if nothing was sent for
// heartbeatInterval. In a tree, it sends them over the links of this router.
// With them goes the revision of the configuration, so that a peer which missed
// a change learns of it from each of its neighbours.
func (f *fleet) publishLoads(now time.Time, last *publishTimes) {
	placed, refused := f.dispatcher.takePlacedPrompts(), f.dispatcher.takeRefusedRequests()
	peers, tree := f.receivers()
	if tree {
		f.enqueue(placed, refused, "")
		f.publishLoadSums(now)
		last.loadsSentAt = now
		return
	}
	revision := f.catalogue.contentSummary().ConfigRevision
	revisionDue := revision != last.revisionSent || now.Sub(last.revisionSentAt) >= fullSumsInterval
	loads := f.dispatcher.takeChangedLoads()
	if !revisionDue && len(loads) == 0 && len(placed) == 0 && len(refused) == 0 && now.Sub(last.loadsSentAt) < heartbeatInterval {
		return
	}
	message := new(upstreamNumbering).loadsMessage(loads, placed)
	message.Refused = refused
	if revisionDue {
		message.ConfigRevision, last.revisionSent, last.revisionSentAt = revision, revision, now
	}
	f.mesh.SendEach(peers, &peerpb.Envelope{Body: &peerpb.Envelope_Loads{Loads: message}})
	last.loadsSentAt = now
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

func spendingEnvelope(usage map[state.Workspace]shares.Usage) *peerpb.Envelope {
	message := &peerpb.Spending{}
	for ws, u := range usage {
		message.Entries = append(message.Entries, &peerpb.WorkspaceSpending{
			Workspace: string(ws), Asked: uint64(u.Requested), Admitted: uint64(u.Admitted),
		})
	}
	return &peerpb.Envelope{Body: &peerpb.Envelope_Spending{Spending: message}}
}

// reportLaggingConfig logs that this router has lacked a newer configuration
// for a while.
func (f *fleet) reportLaggingConfig() {
	status, lagging := f.dispatcher.configLagging()
	if !lagging {
		return
	}
	f.log.Warn().Uint64("held", status.Held.Revision).Str("source", status.Held.Source).
		Uint64("known", status.Newest.Revision).Str("known_from", status.Newest.Source).
		Int64("known_ms", status.Now.Sub(status.Newest.At).Milliseconds()).
		Bool("current", status.Current).Uint64("confirmed", status.Confirmation.Revision).
		Str("confirmed_by", status.Confirmation.Source).Msg("configuration behind")
}
