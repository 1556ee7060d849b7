package peer

import "sync"

const (
	// maxQueuedMessages bounds the messages waiting for one stream. An idle pair has
	// none; a burst of grants and declines of one scheduling round fits.
	maxQueuedMessages = 1024
	// maxQueuedBytes bounds their size: a handful of configuration objects.
	maxQueuedBytes = 8 << 20
	// maxBatchBytes is how many bytes of waiting messages share one yamux frame.
	maxBatchBytes = 16 << 10
)

// queueItem is a frame to write, or a mark that is closed once all frames before it
// were written.
type queueItem struct {
	frame   []byte
	written chan struct{}
}

// queue holds the frames of one stream. Pushing never blocks.
type queue struct {
	// ready receives when items wait.
	ready chan struct{}

	mu    sync.Mutex
	items []queueItem
	bytes int
}

func newQueue() *queue {
	return &queue{ready: make(chan struct{}, 1)}
}

// push returns false if the queue is full.
//
// It guards against a peer that stops reading (frozen, or behind a link that
// drops packets): TCP and yamux push back, and a caller that waited would stop
// the scheduler for everybody else. The bound turns that into an overflow,
// which drops the session: nothing of it may be skipped silently, since later
// messages build on earlier ones, and a new session begins with full state.
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

// takeBatch removes what waits, up to a batch, and reports whether more waits.
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
