package edge

import (
	"math"
	"time"

	"github.com/figstile/figstile/protocol/peerpb"
	"github.com/figstile/figstile/state"
)

// claimTimes holds when a router claimed to read the store, or stated that it
// does not, and when the store confirmed its configuration. Both are times of
// this router's clock.
type claimTimes struct {
	// madeAt is a time before which the router did not make the claim.
	madeAt time.Time
	// confirmed is set if the store confirmed the configuration, at confirmedAt
	// or later.
	confirmed   bool
	confirmedAt time.Time
}

// newClaimTimes returns the times for a message that was received at now and not
// sent before sentAfter. If sentAfter is unknown, the message may have waited
// on its way for any time, so it confirms nothing.
func newClaimTimes(now time.Time, m *peerpb.Reading, sentAfter time.Time) claimTimes {
	if sentAfter.IsZero() {
		return claimTimes{madeAt: now.Add(-millis(m.GetAgeMs()))}
	}
	return claimTimes{
		madeAt:      sentAfter.Add(-millis(m.GetAgeMs())),
		confirmed:   m.ConfirmedMs != nil,
		confirmedAt: sentAfter.Add(-millis(m.GetConfirmedMs())),
	}
}

func millis(ms uint32) time.Duration { return time.Duration(ms) * time.Millisecond }

// ageMillis returns an age in milliseconds, rounded up.
func ageMillis(age time.Duration) uint32 {
	ms := (max(age, 0) + time.Millisecond - 1) / time.Millisecond
	return uint32(min(ms, math.MaxUint32))
}

// forwardReading forwards a router's message over all other links, with its age
// here. An expired message is dropped.
func (f *fleet) forwardReading(from state.Router, m *peerpb.Reading, times claimTimes) {
	now := f.now()
	if now.Sub(times.madeAt) > claimExpiry {
		return
	}
	forwarded := &peerpb.Reading{
		Store: m.GetStore(), ConfigRevision: m.GetConfigRevision(), Upstreams: m.GetUpstreams(), Router: m.GetRouter(),
		AgeMs: ageMillis(now.Sub(times.madeAt)),
	}
	if times.confirmed {
		age := ageMillis(now.Sub(times.confirmedAt))
		forwarded.ConfirmedMs = &age
	}
	peers, tree := f.receivers()
	if !tree {
		return
	}
	for _, router := range peers {
		if router != from {
			f.mesh.SendTimed(router, &peerpb.Envelope{Body: &peerpb.Envelope_Reading{Reading: forwarded}})
		}
	}
}

// readingEnvelope states what this router holds, when the store confirmed it,
// and whether this router reads the store.
func (f *fleet) readingEnvelope(reads bool) *peerpb.Envelope {
	summary := f.catalogue.contentSummary()
	reading := &peerpb.Reading{Store: reads, ConfigRevision: summary.ConfigRevision, Upstreams: summary.UpstreamsDigest}
	if revision, age, ok := f.dispatcher.configConfirmation(); ok {
		ms := ageMillis(age)
		reading.ConfigRevision, reading.ConfirmedMs = revision, &ms
	}
	return &peerpb.Envelope{Body: &peerpb.Envelope_Reading{Reading: reading}}
}

// sendSummary sends peers the revision and the digest of what this router holds.
func (f *fleet) sendSummary(peers []state.Router) {
	for _, router := range peers {
		f.mesh.SendTimed(router, f.readingEnvelope(f.mayClaimReading()))
	}
}

// publishReading announces to all peers that this router follows the store, and
// once when it no longer does.
func (f *fleet) publishReading(now time.Time, last *publishTimes) {
	reading := f.mayClaimReading()
	confirmedAt := f.ownConfirmation()
	due := now.Sub(last.readingSentAt) >= heartbeatInterval || confirmedAt.After(last.readingConfirmedAt)
	if reading == last.readingSent && (!reading || !due) {
		return
	}
	last.readingSent, last.readingSentAt, last.readingConfirmedAt = reading, now, confirmedAt
	env := f.readingEnvelope(reading)
	env.GetReading().Router = string(f.self.Router)
	peers, _ := f.receivers()
	for _, router := range peers {
		f.mesh.SendTimed(router, env)
	}
}
