package upstream

import (
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// statedIdleFraction is the fraction of the idle time that an upstream
	// states for which a connection to it is kept. A request that crosses the
	// upstream's own close of the connection is lost with an unknown outcome.
	statedIdleFraction = 0.6
	// maxKeepIdle limits the time for which an idle connection is kept.
	maxKeepIdle = 15 * time.Second
	// maxStatedUpstreams limits the number of upstreams whose statements are
	// remembered. Beyond it, all are forgotten and learned again.
	maxStatedUpstreams = 20_000
)

// keptConnections holds the idle connections to upstreams. Each is kept for a
// part of the time for which its upstream states that it keeps it, so that
// upstreams which get few requests from this router need no new connection for
// each of them. It is safe for concurrent use.
type keptConnections struct {
	opts ClientOptions

	mu sync.Mutex
	// keepIdle is how long connections to an upstream are kept, by base URL, for
	// the upstreams that have answered.
	keepIdle map[string]time.Duration
	// shortest is assumed for the others: the shortest of these times, or 0
	// before the first answer.
	shortest time.Duration
	// transports holds the connections by how long they are kept. Times are in
	// whole seconds up to maxKeepIdle, so there are few.
	transports map[time.Duration]*http.Transport
}

func newKeptConnections(opts ClientOptions) *keptConnections {
	return &keptConnections{
		opts:       opts,
		keepIdle:   make(map[string]time.Duration),
		transports: make(map[time.Duration]*http.Transport),
	}
}

// transportTo returns the transport for attempts to an upstream.
func (k *keptConnections) transportTo(baseURL string) *http.Transport {
	k.mu.Lock()
	defer k.mu.Unlock()
	idle := k.idleTime(baseURL)
	transport := k.transports[idle]
	if transport == nil {
		opts := k.opts
		opts.KeepIdle = idle
		transport = newTransport(opts)
		k.transports[idle] = transport
	}
	return transport
}

// idleTime returns how long connections to an upstream are kept. The caller
// holds the lock.
func (k *keptConnections) idleTime(baseURL string) time.Duration {
	if idle, ok := k.keepIdle[baseURL]; ok {
		return idle
	}
	if k.shortest > 0 {
		return k.shortest
	}
	return k.opts.KeepIdle
}

// recordAnswer learns from an answer's head how long the upstream keeps idle
// connections.
func (k *keptConnections) recordAnswer(baseURL string, header http.Header) {
	stated, ok := statedIdleTime(header.Get("Keep-Alive"))
	k.mu.Lock()
	defer k.mu.Unlock()
	if len(k.keepIdle) >= maxStatedUpstreams {
		clear(k.keepIdle)
	}
	idle := k.opts.KeepIdle
	if ok {
		idle = time.Duration(statedIdleFraction * float64(stated)).Truncate(time.Second)
		idle = min(max(idle, time.Second), maxKeepIdle)
	}
	k.keepIdle[baseURL] = idle
	if k.shortest == 0 || idle < k.shortest {
		k.shortest = idle
	}
}

// recordLoss records that a kept connection failed. The upstream may close
// connections earlier than it states, so that the default applies until its
// next answer.
func (k *keptConnections) recordLoss(baseURL string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.keepIdle[baseURL] = min(k.opts.KeepIdle, k.idleTime(baseURL))
}

func (k *keptConnections) closeIdle() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, transport := range k.transports {
		transport.CloseIdleConnections()
	}
}

// statedIdleTime returns the timeout parameter of a Keep-Alive header, which is
// in whole seconds.
func statedIdleTime(value string) (time.Duration, bool) {
	for parameter := range strings.SplitSeq(value, ",") {
		name, text, _ := strings.Cut(strings.TrimSpace(parameter), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.ParseUint(text, 10, 31)
		return time.Duration(seconds) * time.Second, err == nil && seconds > 0
	}
	return 0, false
}
