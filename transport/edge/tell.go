package edge

import (
	"context"
	"time"

	"github.com/figstile/figstile/coordination/placement"
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
	var told timesTold
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.desk.urgent:
			if !waiting {
				waiting = true
				urgent.Reset(time.Duration(f.pace() * float64(urgentGap)))
			}
		case <-urgent.C:
			waiting = false
			told.loads = f.tellLoads(f.now(), told.loads)
		case <-ticker.C:
			f.tellSettled()
			f.giveUpStalled()
			f.askForCatalogue()
			f.tellInTurn(&told)
		}
	}
}

// tellSettled tells peers of upstreams that are gone after it was in doubt.
func (f *fleet) tellSettled() {
	if gone := f.catalogue.settleLapsed(); len(gone) > 0 {
		f.sendNews(KindUpstream, gone)
	}
}

// timesTold are when peers were last told of what.
type timesTold struct {
	reading             bool
	claim               time.Time
	loads, farLoads     time.Time
	spending, farSpends time.Time
}

// tellInTurn tells peers what is due by the fleet's pace.
func (f *fleet) tellInTurn(told *timesTold) {
	now, pace := f.now(), f.pace()
	due := func(last *time.Time, every time.Duration) bool {
		if now.Sub(*last) < every {
			return false
		}
		*last = now
		return true
	}
	f.tellReading(now, told)
	if now.Sub(told.loads) >= time.Duration(pace*float64(loadsEvery)) {
		told.loads = f.tellLoads(now, told.loads)
	}
	if due(&told.spending, time.Duration(pace*float64(spendingEvery))) {
		f.tellSpending()
	}
	if !f.planned().Speaks {
		return
	}
	if due(&told.farLoads, farEvery) {
		f.tellSum()
	}
	if due(&told.farSpends, farSpendingEvery) {
		f.tellSpendingSum()
	}
}

// tellReading tells all peers that this router follows the store, and once
// that it no longer does.
func (f *fleet) tellReading(now time.Time, told *timesTold) {
	reading := f.claim()
	if reading == told.reading && (!reading || now.Sub(told.claim) < aliveEvery) {
		return
	}
	told.reading, told.claim = reading, now
	f.mesh.Broadcast(f.readingEnvelope(reading))
}

// pace is how much less often than usual peers are told: a router hears from
// all that it tells, and what it spends on that must not grow with the fleet.
func (f *fleet) pace() float64 {
	return max(1, float64(len(f.planned().Near))/fullPace)
}

// tellLoads tells what has changed, or after a while that nothing has, and
// returns when peers were last told.
func (f *fleet) tellLoads(now, last time.Time) time.Time {
	loads, placed, refused := f.desk.takeChangedLoads(), f.desk.takePlaced(), f.desk.takeRefused()
	if len(loads) == 0 && len(placed) == 0 && len(refused) == 0 && now.Sub(last) < aliveEvery {
		return last
	}
	env := loadsEnvelope("", loads, false)
	prompts := promptMessages(placed)
	env.GetLoads().Prompts, env.GetLoads().Refused = prompts, refused
	f.keepForFar(prompts)
	f.mesh.SendEach(f.planned().Near, env)
	return now
}

// maxFarPrompts bounds what waits for other data centres. It is more than a
// data centre sends to engines between two messages; what is left out, engines
// are believed not to hold.
const maxFarPrompts = 2000

// keepForFar keeps prompts until other data centres are told.
func (f *fleet) keepForFar(prompts []*peerpb.PlacedPrompt) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.plan.Speaks && len(f.farPrompts) < maxFarPrompts {
		f.farPrompts = append(f.farPrompts, prompts...)
	}
}

// tellSum tells the speakers of other data centres what this one's routers have
// at upstreams: those that know it the changes, the others all.
func (f *fleet) tellSum() {
	f.mu.Lock()
	far, prompts := f.plan.Far, f.farPrompts
	f.farPrompts = nil
	var ignorant []state.Router
	for _, router := range far {
		if !f.informed[router] {
			ignorant = append(ignorant, router)
			f.informed[router] = true
		}
	}
	f.mu.Unlock()
	changes := loadsEnvelope(f.self.DataCentre, f.desk.takeChangedSum(), false)
	changes.GetLoads().Prompts = prompts
	if len(ignorant) > 0 {
		f.mesh.SendEach(ignorant, loadsEnvelope(f.self.DataCentre, f.desk.sum(), true))
	}
	f.mesh.SendEach(far, changes)
}

func (f *fleet) tellSpending() {
	if usage := f.desk.ownSpending(); len(usage) > 0 {
		f.mesh.SendEach(f.planned().Near, spendingEnvelope("", usage))
	}
}

func (f *fleet) tellSpendingSum() {
	if usage := f.desk.spendingSum(); len(usage) > 0 {
		f.mesh.SendEach(f.planned().Far, spendingEnvelope(f.self.DataCentre, usage))
	}
}

func (f *fleet) readingEnvelope(reads bool) *peerpb.Envelope {
	holding := f.catalogue.holding()
	return &peerpb.Envelope{Body: &peerpb.Envelope_Reading{Reading: &peerpb.Reading{
		Store: reads, ConfigRevision: holding.Config, Upstreams: holding.Upstreams,
	}}}
}

// loadsEnvelope tells the loads of this router, or of a data centre if one is
// named.
func loadsEnvelope(sumOf state.DataCentre, loads map[state.Upstream]placement.Load, full bool) *peerpb.Envelope {
	message := loadsMessage(loads)
	message.DataCentre, message.Full = string(sumOf), full
	return &peerpb.Envelope{Body: &peerpb.Envelope_Loads{Loads: message}}
}

func spendingEnvelope(sumOf state.DataCentre, usage map[state.Workspace]shares.Usage) *peerpb.Envelope {
	message := &peerpb.Spending{DataCentre: string(sumOf)}
	for ws, u := range usage {
		message.Entries = append(message.Entries, &peerpb.WorkspaceSpending{
			Workspace: string(ws), Asked: uint64(u.Asked), Admitted: uint64(u.Admitted),
		})
	}
	return &peerpb.Envelope{Body: &peerpb.Envelope_Spending{Spending: message}}
}
