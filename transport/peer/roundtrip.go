package peer

import (
	"sync"
	"time"
)

// rememberedHeartbeats is how many sent heartbeats can still be echoed. The echo of
// one arrives with the peer's next heartbeat, so a few suffice.
const rememberedHeartbeats = 8

// roundTrip measures the round trip from heartbeats: each echoes the last
// sequence heard and says how long it was held.
type roundTrip struct {
	mu               sync.Mutex
	sequence         uint64
	sentAt           [rememberedHeartbeats]time.Time
	receivedSequence uint64
	receivedAt       time.Time
	lastRoundTrip    time.Duration
}

// nextHeartbeat returns the numbers of the next heartbeat.
func (r *roundTrip) nextHeartbeat(now time.Time) (sequence, echo uint64, echoDelay time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sequence++
	r.sentAt[r.sequence%rememberedHeartbeats] = now
	if r.receivedSequence != 0 {
		echoDelay = now.Sub(r.receivedAt)
	}
	return r.sequence, r.receivedSequence, echoDelay
}

// receiveHeartbeat takes the numbers of a peer's heartbeat.
func (r *roundTrip) receiveHeartbeat(now time.Time, sequence, echo uint64, echoDelay time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.receivedSequence = sequence
	r.receivedAt = now
	if echo == 0 || echo > r.sequence || r.sequence-echo >= rememberedHeartbeats {
		return
	}
	if elapsed := now.Sub(r.sentAt[echo%rememberedHeartbeats]) - echoDelay; elapsed >= 0 {
		r.lastRoundTrip = elapsed
	}
}

func (r *roundTrip) latest() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lastRoundTrip
}
