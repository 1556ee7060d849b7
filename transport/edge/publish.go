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
	ticker := time.NewTicker(scanEvery)
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
		case <-f.dispatcher.urgent:
			if !waiting {
				waiting = true
				urgent.Reset(max(f.urgentGap()-f.now().Sub(last.loads), 0))
			}
		case <-urgent.C:
			waiting = false
			last.loads = f.publishLoads(f.now(), last.loads)
		case <-ticker.C:
			f.publishSettled()
			f.giveUpStalled()
			f.tickOverlay()
			f.fetchCatalogue()
			f.fetchDue()
			f.publishDue(&last)
		}
	}
}

func (f *fleet) urgentGap() time.Duration {
	peers, tree := f.receivers()
	if !tree {
		return urgentGap
	}
	return max(urgentGap, time.Duration(len(peers))*linkGap)
}

// publishSettled tells peers of upstreams that are gone after it was in doubt.
func (f *fleet) publishSettled() {
	if gone := f.catalogue.settleLapsed(); len(gone) > 0 {
		f.publishObjects(KindUpstream, gone)
	}
}

// publishTimes are when peers were last told of what.
type publishTimes struct {
	reading  bool
	claim    time.Time
	loads    time.Time
	spending time.Time
}

// publishDue tells peers what is due.
func (f *fleet) publishDue(last *publishTimes) {
	now := f.now()
	f.publishReading(now, last)
	if now.Sub(last.loads) >= loadsEvery {
		last.loads = f.publishLoads(now, last.loads)
	}
	if now.Sub(last.spending) >= spendingEvery {
		last.spending = now
		f.publishSpending(now)
	}
}

// publishReading tells all peers that this router follows the store, and once
// that it no longer does.
func (f *fleet) publishReading(now time.Time, last *publishTimes) {
	reading := f.claim()
	if reading == last.reading && (!reading || now.Sub(last.claim) < aliveEvery) {
		return
	}
	last.reading, last.claim = reading, now
	env := f.readingEnvelope(reading)
	env.GetReading().Router = string(f.self.Router)
	peers, _ := f.receivers()
	f.mesh.SendEach(peers, env)
}

// publishLoads tells what has changed, or after a while that nothing has, and
// returns when peers were last told.
func (f *fleet) publishLoads(now, last time.Time) time.Time {
	placed, refused := f.dispatcher.takePlaced(), f.dispatcher.takeRefused()
	peers, tree := f.receivers()
	if tree {
		f.enqueue(placed, refused, "")
		f.publishSums(now)
		return now
	}
	loads := f.dispatcher.takeChangedLoads()
	if len(loads) == 0 && len(placed) == 0 && len(refused) == 0 && now.Sub(last) < aliveEvery {
		return last
	}
	message := new(numbering).loadsMessage(loads, placed)
	message.Refused = refused
	f.mesh.SendEach(peers, &peerpb.Envelope{Body: &peerpb.Envelope_Loads{Loads: message}})
	return now
}

func (f *fleet) publishSpending(now time.Time) {
	peers, tree := f.receivers()
	if tree {
		for _, router := range peers {
			if usage := f.dispatcher.spendingBeyond(router); len(usage) > 0 {
				f.mesh.Send(router, spendingEnvelope(usage))
			}
		}
		return
	}
	if usage := f.dispatcher.ownSpending(); len(usage) > 0 {
		f.mesh.SendEach(peers, spendingEnvelope(usage))
	}
}

// sendLost tells peers of a request under which an upstream fell.
func (f *fleet) sendLost(fingerprint state.Fingerprint, run quarantine.Run) {
	peers, _ := f.receivers()
	f.mesh.SendEach(peers, &peerpb.Envelope{Body: &peerpb.Envelope_Crash{Crash: &peerpb.Crash{
		Fingerprint: uint64(fingerprint), Upstream: string(run.Upstream), Boot: run.Boot,
	}}})
}

func (f *fleet) readingEnvelope(reads bool) *peerpb.Envelope {
	holding := f.catalogue.holding()
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
