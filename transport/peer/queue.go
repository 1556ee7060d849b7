package peer

import "sync"

const (
	// maxQueuedMessages bounds the number of messages waiting for one stream.
	// The queue of an idle session is empty, and a burst of the grants and
	// declines of one scheduling round fits.
	maxQueuedMessages = 1024
	// maxQueuedBytes bounds the total size of these messages. It allows for
	// several configuration objects.
	maxQueuedBytes = 8 << 20
	// maxBatchBytes is the size up to which waiting messages are combined into
	// one yamux frame.
	maxBatchBytes = 16 << 10
)

// queueItem is a frame to write, or a marker whose channel is closed once all
// earlier frames have been written.
type queueItem struct {
	frame   []byte
	written chan struct{}
}

// queue holds the frames waiting for one stream. Adding a frame never blocks.
type queue struct {
	// ready receives a value when items are waiting.
	ready chan struct{}

	mu    sync.Mutex
	items []queueItem
	bytes int
}

func newQueue() *queue {
	return &queue{ready: make(chan struct{}, 1)}
}

// push adds an item, or returns false if the queue is full.
//
// The bound guards against a peer that stops reading because it is frozen or
// behind a link that drops packets. TCP and yamux then block the writer, and a
// caller that waited would stop the scheduler for all other peers. A full queue
// makes the caller drop the session instead. Single messages must not be
// dropped silently, because later messages build on earlier ones; a new session
// begins with full state.
func (q *queue) push(it queueItem) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.items) >= maxQueuedMessages || q.bytes+len(it.frame) > maxQueuedBytes {
		return false
	}
	q.items = append(q.items, it)
	q.bytes += len(it.frame)
	select {
	case q.ready <- struct{}{}:
	default:
	}
	return true
}

// takeBatch removes and returns the waiting items, up to maxBatchBytes, and
// reports whether more are waiting.
func (q *queue) takeBatch() (batch []queueItem, more bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	size, n := 0, 0
	for n < len(q.items) && (n == 0 || size+len(q.items[n].frame) <= maxBatchBytes) {
		size += len(q.items[n].frame)
		n++
	}
	batch = q.items[:n:n]
	q.items = q.items[n:]
	q.bytes -= size
	if len(q.items) == 0 {
		q.items = nil
	}
	return batch, len(q.items) > 0
}
