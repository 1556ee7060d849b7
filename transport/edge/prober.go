package edge

import (
	"context"
	"sync"
	"time"

	"github.com/figstile/figstile/state/directory"
	"github.com/figstile/figstile/transport/pause"
)

// probeInterval is the pause between two rounds of probes. The end of a
// partition is noticed within it. A probe costs one connection, to an upstream
// that gets no requests meanwhile.
const probeInterval = 400 * time.Millisecond

// probeUnreachable detects which unreachable upstreams can be connected to
// again, so that no request has to try them.
func (r *Router) probeUnreachable(ctx context.Context) {
	dialer := NewDialer()
	for pause.For(ctx, probeInterval) == nil {
		var round sync.WaitGroup
		for _, u := range r.dispatcher.unreachableUpstreams() {
			round.Go(func() { r.probeUpstream(ctx, dialer.DialContext, u) })
		}
		round.Wait()
	}
}

func (r *Router) probeUpstream(ctx context.Context, dial dialFunc, u directory.Upstream) {
	conn, err := dial(ctx, "tcp", u.Address)
	if err != nil {
		return
	}
	_ = conn.Close()
	r.dispatcher.markReachable(u.ID)
	r.log.Info().Str("upstream", string(u.ID)).Msg("upstream reached again")
}
