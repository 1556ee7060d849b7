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

// echo returns the sequence number of the peer's last heartbeat, 0 if there was
// none, and the time since it was received.
func (r *roundTrip) echo(now time.Time) (sequence uint64, held time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.receivedSequence == 0 {
		return 0, 0
	}
	return r.receivedSequence, max(now.Sub(r.receivedAt), 0)
}

// sentAfter returns a time of this router's clock before which the peer cannot
// have sent a message with this echo: it received the echoed heartbeat no
// earlier than this router sent it, and then held the echo for a while. The
// result is the zero time if the echo is unknown.
func (r *roundTrip) sentAfter(now time.Time, echo uint64, held time.Duration) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	if echo == 0 || echo > r.sequence || r.sequence-echo >= rememberedHeartbeats || held < 0 {
		return time.Time{}
	}
	sentAfter := r.sentAt[echo%rememberedHeartbeats].Add(held)
	if sentAfter.After(now) {
		return time.Time{}
	}
	return sentAfter
}

func (r *roundTrip) latest() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lastRoundTrip
}
