package edge

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

func newFollower(f *fixture, kind Kind) (*follower, *[]Object) {
	changed := &[]Object{}
	return &follower{
		kind: kind, store: f.platform, catalogue: f.catalogue, log: zerolog.Nop(), now: f.clock.now, watchPeriod: testWatchPeriods[KindConfig],
		cutSilence: cutSilence(0),
		onCall:     func(Kind, time.Time) {}, firstWaitShare: func() float64 { return 1 },
		shouldRead: func() bool { return true }, onAnswer: func(Kind, time.Time) {}, onFailure: func(Kind) {},
		onChanged: func(_ Kind, objects []Object) { *changed = append(*changed, objects...) },
	}, changed
}

// A watch continues from the revision of the list, and each change is sent to
// peers once.
func TestFollowerWatchesFromTheListedRevision(t *testing.T) {
	f := newFixture()
	f.platform.list = func(Kind) ([]Object, uint64, error) { return []Object{upstreamObject("a", 3, false)}, 5, nil }
	var watchedFrom []uint64
	f.platform.watch = func(_ Kind, after uint64) ([]Object, uint64, error) {
		watchedFrom = append(watchedFrom, after)
		return []Object{upstreamObject(fmt.Sprintf("b%d", after), after+1, false)}, after + 1, nil
	}
	follower, changed := newFollower(f, KindUpstream)
	for range 3 {
		require.NoError(t, follower.step(context.Background()))
	}
	require.Equal(t, []uint64{5, 6}, watchedFrom)
	require.Len(t, *changed, 3)
	require.Equal(t, 3, f.usableUpstreams())
}

// The store drops its history while an upstream leaves. The watch fails because
// the history has expired, and only a new list shows that the upstream left.
func TestFollowerListsAgainAfterLostHistory(t *testing.T) {
	f := newFixture()
	entries := []Object{upstreamObject("a", 3, false), upstreamObject("b", 4, false)}
	f.platform.list = func(Kind) ([]Object, uint64, error) { return entries, 9, nil }
	f.platform.watch = func(Kind, uint64) ([]Object, uint64, error) { return nil, 0, ErrHistoryExpired }
	follower, _ := newFollower(f, KindUpstream)
	require.NoError(t, follower.step(context.Background()))
	require.Equal(t, 2, f.usableUpstreams())
	entries = entries[:1]
	ctx, cancel := context.WithCancel(context.Background())
	f.platform.list = func(Kind) ([]Object, uint64, error) {
		defer cancel()
		return entries, 12, nil
	}
	follower.run(ctx)
	require.Equal(t, 1, f.usableUpstreams())
}

// While the store is unavailable, the router keeps its last view.
func TestFollowerKeepsItsViewThroughAnOutage(t *testing.T) {
	f := newFixture()
	f.platform.list = func(Kind) ([]Object, uint64, error) { return []Object{upstreamObject("a", 3, false)}, 5, nil }
	follower, _ := newFollower(f, KindUpstream)
	require.NoError(t, follower.step(context.Background()))
	ctx, cancel := context.WithCancel(context.Background())
	failures := 0
	follower.onFailure = func(Kind) { failures++ }
	f.platform.watch = func(Kind, uint64) ([]Object, uint64, error) {
		thirdCall := failures == 2
		if thirdCall {
			cancel()
		}
		return nil, 0, fmt.Errorf("%w: silent", ErrUnavailable)
	}
	follower.run(ctx)
	require.Positive(t, failures)
	require.Equal(t, 1, f.usableUpstreams())
	require.True(t, f.catalogue.storeUnavailable)
}

// The store cuts off a watch while an upstream leaves without notice. Its removal
// was put off for longer than the upstream goes on serving, as if its entry had
// expired in an outage.
func TestCutWatchIsNoOutage(t *testing.T) {
	cut := fmt.Errorf("%w: reset", ErrUnavailable)
	for name, c := range map[string]struct {
		failures int
		silence  time.Duration
		used     int
	}{
		"one cut":           {1, time.Second, 0},
		"outage":            {2, time.Second, 1},
		"silence and a cut": {1, cutSilence(0) + time.Millisecond, 1},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture()
			f.platform.list = func(Kind) ([]Object, uint64, error) { return []Object{upstreamObject("a", 3, false)}, 5, nil }
			follower, _ := newFollower(f, KindUpstream)
			require.NoError(t, follower.step(context.Background()))
			f.clock.advance(c.silence)
			ctx, cancel := context.WithCancel(context.Background())
			calls := 0
			f.platform.watch = func(Kind, uint64) ([]Object, uint64, error) {
				if calls++; calls <= c.failures {
					return nil, 0, cut
				}
				cancel()
				return []Object{removal("a", 8)}, 8, nil
			}
			follower.run(ctx)
			require.Equal(t, c.used, f.usableUpstreams())
		})
	}
}

// Watches that are cut off again and again, with an answer after each cut, are no
// outage either.
func TestSeriesOfCutWatchesIsNoOutage(t *testing.T) {
	f := newFixture()
	f.platform.list = func(Kind) ([]Object, uint64, error) { return []Object{upstreamObject("a", 3, false)}, 5, nil }
	follower, _ := newFollower(f, KindUpstream)
	require.NoError(t, follower.step(context.Background()))
	ctx, cancel := context.WithCancel(context.Background())
	calls := 0
	f.platform.watch = func(_ Kind, after uint64) ([]Object, uint64, error) {
		calls++
		f.clock.advance(300 * time.Millisecond)
		switch {
		case calls < 6 && calls%2 == 1:
			return nil, 0, fmt.Errorf("%w: reset", ErrUnavailable)
		case calls < 6:
			return nil, after, nil
		}
		cancel()
		return []Object{removal("a", 8)}, 8, nil
	}
	follower.run(ctx)
	require.Zero(t, f.usableUpstreams())
}

// A store that has dropped its history answers, so the failures before and after
// that answer are two cuts and no outage.
func TestExpiredHistoryIsAnAnswer(t *testing.T) {
	f := newFixture()
	f.platform.list = func(Kind) ([]Object, uint64, error) { return []Object{upstreamObject("a", 3, false)}, 5, nil }
	follower, _ := newFollower(f, KindUpstream)
	require.NoError(t, follower.step(context.Background()))
	cut := fmt.Errorf("%w: reset", ErrUnavailable)
	ctx, cancel := context.WithCancel(context.Background())
	lists, watches := 0, 0
	f.platform.list = func(Kind) ([]Object, uint64, error) {
		if lists++; lists == 1 {
			return nil, 0, cut
		}
		cancel()
		return nil, 9, nil
	}
	f.platform.watch = func(Kind, uint64) ([]Object, uint64, error) {
		if watches++; watches == 1 {
			return nil, 0, cut
		}
		return nil, 0, ErrHistoryExpired
	}
	follower.run(ctx)
	require.Zero(t, f.usableUpstreams(), "the list without the upstream counts at once")
}

// Upstreams with another heartbeat expire after another time.
func TestCutSilenceFollowsTheHeartbeat(t *testing.T) {
	for _, heartbeat := range []time.Duration{200 * time.Millisecond, defaultUpstreamHeartbeat, 5 * time.Second} {
		require.Less(t, cutSilence(heartbeat)+heartbeat, 3*heartbeat)
	}
	require.Equal(t, cutSilence(defaultUpstreamHeartbeat), cutSilence(0))
}

func TestRouterThatDoesNotReadMakesNoCalls(t *testing.T) {
	f := newFixture()
	follower, _ := newFollower(f, KindConfig)
	ctx, cancel := context.WithCancel(context.Background())
	checks := 0
	follower.shouldRead = func() bool {
		if checks++; checks == 2 {
			cancel()
		}
		return false
	}
	follower.run(ctx)
	require.Empty(t, f.platform.calls)
}

// An answer of the store must not confirm the configuration for a later time
// than the store can have answered: a router that stood still reads the answer
// long after it was sent.
func TestAnswerConfirmsNoLaterTimeThanItsOwn(t *testing.T) {
	changed, wait := []Object{configObject(7, 2)}, testWatchPeriods[KindConfig]
	for name, c := range map[string]struct {
		objects []Object
		took    time.Duration
		// confirmed is the time after the call at which the store is known to
		// have held nothing newer.
		confirmed time.Duration
	}{
		"no change":           {nil, wait, wait},
		"read late":           {nil, wait + time.Second, wait},
		"call cut short":      {nil, wait - 1, 0},
		"change":              {changed, time.Second, 0},
		"change, read late":   {changed, wait + time.Second, 0},
		"clock was suspended": {nil, time.Hour, wait},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture()
			f.platform.list = func(Kind) ([]Object, uint64, error) { return []Object{configObject(5, 1)}, 5, nil }
			f.platform.watch = func(Kind, uint64) ([]Object, uint64, error) {
				f.clock.advance(c.took)
				return c.objects, 9, nil
			}
			follower, _ := newFollower(f, KindConfig)
			require.NoError(t, follower.step(context.Background()))
			calledAt := f.clock.now()
			var answeredAt time.Time
			follower.onAnswer = func(_ Kind, at time.Time) { answeredAt = at }
			require.NoError(t, follower.step(context.Background()))
			require.Equal(t, c.confirmed, answeredAt.Sub(calledAt))
			require.Equal(t, c.objects != nil, follower.probe, "a call that is answered at once follows a change")
		})
	}
}

// The store is slow. If readers stopped claiming to read it for that, all routers
// would read it, and it would become slower.
func TestSlowStoreHasMoreTimeBeforeACallIsOverdue(t *testing.T) {
	f := newFixture()
	latency := 4 * time.Millisecond
	f.platform.list = func(Kind) ([]Object, uint64, error) { return nil, 5, nil }
	f.platform.watch = func(Kind, uint64) ([]Object, uint64, error) {
		f.clock.advance(testWatchPeriods[KindUpstream] + latency)
		return nil, 5, nil
	}
	follower, _ := newFollower(f, KindUpstream)
	follower.watchPeriod = testWatchPeriods[KindUpstream]
	var slack time.Duration
	follower.onCall = func(_ Kind, overdueAt time.Time) { slack = overdueAt.Sub(f.clock.now()) - follower.watchPeriod }
	for range 3 {
		require.NoError(t, follower.step(context.Background()))
	}
	require.Equal(t, answerSlack, slack)
	latency = 500 * time.Millisecond
	for range 2 {
		require.NoError(t, follower.step(context.Background()))
	}
	require.Equal(t, time.Second, slack)
	latency = 5 * time.Second
	for range 2 {
		require.NoError(t, follower.step(context.Background()))
	}
	require.Equal(t, callTimeout, slack)
}
