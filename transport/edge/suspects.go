package edge

import (
	"time"

	"github.com/figstile/figstile/coordination/quarantine"
	"github.com/figstile/figstile/protocol/peerpb"
	"github.com/figstile/figstile/state"
)

// CheckSuspect implements ingress.Dispatcher.
func (d *dispatcher) CheckSuspect(f state.Fingerprint) (quarantine.Verdict, time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.quarantined.Decide(d.now(), f, d.settings.Router)
}

// StartTrial implements ingress.Dispatcher. A trial is told to the peers before
// the request runs, so that they do not begin one as well.
func (d *dispatcher) StartTrial(f state.Fingerprint) quarantine.Verdict {
	d.mu.Lock()
	verdict := d.quarantined.StartTrial(d.now(), f, d.settings.Router)
	d.mu.Unlock()
	if verdict == quarantine.Trial {
		d.onTrial(f)
	}
	return verdict
}

// ReportServed implements ingress.Dispatcher.
func (d *dispatcher) ReportServed(f state.Fingerprint) {
	d.mu.Lock()
	cleared := d.quarantined.Served(f)
	d.mu.Unlock()
	if cleared {
		d.onServed(f)
	}
}

// receiveSuspicion handles a peer's report on a request that crashed upstreams.
func (d *dispatcher) receiveSuspicion(f state.Fingerprint, served, trial bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if served {
		d.quarantined.Served(f)
	}
	if trial {
		d.quarantined.TrialStarted(d.now(), f)
	}
}

// sendLostRequest reports to peers a request that was running when an
// upstream's run ended.
func (f *fleet) sendLostRequest(lost lostRequest) {
	now := f.now()
	f.broadcast(&peerpb.Envelope{Body: &peerpb.Envelope_Crash{Crash: &peerpb.Crash{
		Fingerprint: uint64(lost.fingerprint), Upstream: string(lost.run.Upstream), Boot: lost.run.Boot,
		StartedMs: ageMillis(now.Sub(lost.loss.StartedAt)), LostMs: ageMillis(now.Sub(lost.loss.LostAt)),
	}}})
}

// onCrash handles a peer's report of a request that was running when an
// upstream's run ended.
func (f *fleet) onCrash(from state.Router, m *peerpb.Crash, env *peerpb.Envelope) {
	now := f.now()
	f.dispatcher.receiveLost(lostRequest{
		fingerprint: state.Fingerprint(m.GetFingerprint()),
		run:         quarantine.Run{Upstream: state.Upstream(m.GetUpstream()), Boot: m.GetBoot()},
		loss:        quarantine.Loss{StartedAt: now.Add(-millis(m.GetStartedMs())), LostAt: now.Add(-millis(m.GetLostMs()))},
	})
	f.forward(from, env)
}

// sendServed tells peers that a request which they may suspect was answered.
func (f *fleet) sendServed(fingerprint state.Fingerprint) {
	f.log.Info().Uint64("fingerprint", uint64(fingerprint)).Msg("request cleared")
	f.broadcast(suspicionEnvelope(&peerpb.Suspicion{Fingerprint: uint64(fingerprint), Served: true}))
}

// sendTrial tells peers that this router tries a blocked request.
func (f *fleet) sendTrial(fingerprint state.Fingerprint) {
	f.log.Warn().Uint64("fingerprint", uint64(fingerprint)).Msg("blocked request tried")
	f.broadcast(suspicionEnvelope(&peerpb.Suspicion{Fingerprint: uint64(fingerprint), Trial: true}))
}

func suspicionEnvelope(m *peerpb.Suspicion) *peerpb.Envelope {
	return &peerpb.Envelope{Body: &peerpb.Envelope_Suspicion{Suspicion: m}}
}

// onSuspicion handles a peer's report on a request that crashed upstreams.
func (f *fleet) onSuspicion(from state.Router, m *peerpb.Suspicion, env *peerpb.Envelope) {
	f.dispatcher.receiveSuspicion(state.Fingerprint(m.GetFingerprint()), m.GetServed(), m.GetTrial())
	f.forward(from, env)
}

// broadcast sends a message to all peers that this router reports to.
func (f *fleet) broadcast(env *peerpb.Envelope) {
	peers, _ := f.receivers()
	f.mesh.SendEach(peers, env)
}
