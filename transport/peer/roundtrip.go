package peer

import (
	"sync"
	"time"
)

// rememberedBeats is how many sent heartbeats can still be echoed. The echo of
// one arrives with the peer's next heartbeat, so a few suffice.
const rememberedBeats = 8

// roundTrip measures the round trip from heartbeats: each echoes the last
// sequence heard and says how long it was held.
type roundTrip struct {
	mu       sync.Mutex
	sequence uint64
	sent     [rememberedBeats]time.Time
	heard    uint64
	heardAt  time.Time
	last     time.Duration
}

// beat returns the numbers of the next heartbeat.
func (r *roundTrip) beat(now time.Time) (sequence, echo uint64, held time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sequence++
	r.sent[r.sequence%rememberedBeats] = now
	if r.heard != 0 {
		held = now.Sub(r.heardAt)
	}
	return r.sequence, r.heard, held
}

// hear takes the numbers of a peer's heartbeat.
func (r *roundTrip) hear(now time.Time, sequence, echo uint64, held time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.heard = sequence
	r.heardAt = now
	if echo == 0 || echo > r.sequence || r.sequence-echo >= rememberedBeats {
		return
	}
	if trip := now.Sub(r.sent[echo%rememberedBeats]) - held; trip >= 0 {
		r.last = trip
	}
}

func (r *roundTrip) latest() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.last
}
