package peer

import (
	"sync"
	"time"
)

// rememberedHeartbeats is the number of sent heartbeats for which an echo can
// still be matched. The echo of a heartbeat arrives with the peer's next
// heartbeat, so a few are enough.
const rememberedHeartbeats = 8

// roundTrip measures the round-trip time with heartbeats. Each heartbeat echoes
// the last sequence number received and reports how long ago it was received.
type roundTrip struct {
	mu               sync.Mutex
	sequence         uint64
	sentAt           [rememberedHeartbeats]time.Time
	receivedSequence uint64
	receivedAt       time.Time
	lastRoundTrip    time.Duration
}

// nextHeartbeat returns the sequence number, the echoed number and the echo
// delay for the next heartbeat to send.
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

// receiveHeartbeat processes these values from a peer's heartbeat and updates
// the round-trip time.
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
