package edge

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/rs/zerolog"

	"github.com/figstile/figstile/transport/pause"
)

const (
	// defaultLeaveLimit is the time after which a leaving upstream must get no new
	// requests, if the settings have none.
	defaultLeaveLimit = 2 * time.Second
	// minUpstreamWatchPeriod and maxUpstreamWatchPeriod limit the period of the
	// watch calls for upstreams. A connection that receives nothing is noticed
	// within the longest one.
	minUpstreamWatchPeriod = minUpstreamPause + probeWait
	maxUpstreamWatchPeriod = 3 * time.Second
	// minEvacuationWatchPeriod is the shortest period of the watch calls for
	// evacuations.
	minEvacuationWatchPeriod = 1500 * time.Millisecond
	// answerSlack is the shortest time beyond the wait of a call after which the
	// call is overdue. It covers a slow store. While answers take longer, the
	// time is latencyMargin times that of the last answer, up to callTimeout:
	// otherwise all routers would read a store that is slow because of its load.
	answerSlack   = 600 * time.Millisecond
	latencyMargin = 2
	// probeWait is the wait of a watch call that shall be answered at once: after
	// a failed call, to learn whether the store answers again, and after a change
	// of the configuration, to learn whether it is the newest.
	probeWait = 50 * time.Millisecond
	// minUpstreamPause and maxUpstreamPause limit the pause between two watch
	// calls for upstreams, so that one call returns several changes. Each upstream
	// changes its entry about once a second, and without a pause each router
	// would make a call for each of these changes.
	minUpstreamPause = 250 * time.Millisecond
	maxUpstreamPause = 750 * time.Millisecond
	// operatorWatchInterval limits the calls for each kind of object that
	// operators write to ten per second if it changes many times in a row.
	operatorWatchInterval = 100 * time.Millisecond
	// readerCheckInterval is the interval at which a router that does not read
	// the store checks whether it should.
	readerCheckInterval = 100 * time.Millisecond
	// callTimeout limits a call in addition to the time for which the call
	// itself may wait. The store answers within milliseconds, or within a third
	// of a second when it is slow.
	callTimeout = 1200 * time.Millisecond
	// minRetryDelay and maxRetryDelay limit the back-off after failed calls.
	// With the maximum, a router notices the store's return within a second.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 700 * time.Millisecond
	// defaultUpstreamHeartbeat is the interval at which upstreams write their
	// entries, if the settings have none.
	defaultUpstreamHeartbeat = 1200 * time.Millisecond
)

// follower keeps a catalogue up to date with one kind of the store's objects.
type follower struct {
	kind Kind
	// watchPeriod limits the pause before a watch call and the wait of that call
	// together.
	watchPeriod time.Duration
	store       ObjectStore
	catalogue   *catalogue
	log         zerolog.Logger
	// shouldRead reports whether this router has to read the store. Otherwise
	// the router receives changes from peers that read the store.
	shouldRead func() bool
	now        func() time.Time
	// cutSilence is the longest time since the store's last answer after which
	// one failed call is not an outage.
	cutSilence time.Duration
	// onCall is called before each call, which is overdue from a time on.
	onCall func(kind Kind, overdueAt time.Time)
	// onAnswer is called after the objects of an answer of the store were
	// applied. At the time answeredAt, no later one, the store held no other
	// objects. onFailure is called after each failed call. onChanged receives
	// changed objects.
	onAnswer  func(kind Kind, answeredAt time.Time)
	onFailure func(kind Kind)
	onChanged func(kind Kind, objects []Object)

	// firstWaitShare returns the part of the period that this reader waits for
	// after a change.
	firstWaitShare func() float64
	// retryDelay may lengthen the pause after a failed call. If nil, the pause
	// is unchanged.
	retryDelay func(delay time.Duration) time.Duration

	listed   bool
	revision uint64
	// latency is the time that the last answer took beyond the wait of its call.
	latency time.Duration
	// failures is the number of calls that have failed since the last answer.
	failures int
	// probe is set if the next watch call has to be answered at once.
	probe bool
	// inStep is set if other readers may begin to wait at the same time as this
	// one.
	inStep bool
	// paused is the pause before the next watch call.
	paused time.Duration
}

// newFollowers returns a follower for each kind of object that a router with
// these settings needs. They read the store for the router and its peers.
func newFollowers(settings Settings, store ObjectStore, fleet *fleet, now func() time.Time) []*follower {
	periods := map[Kind]time.Duration{KindConfig: configLimit(settings) / 2, KindUpstream: upstreamWatchPeriod(settings.LeaveLimit)}
	if settings.EvacuationLimit > 0 {
		periods[KindEvacuation] = max(minEvacuationWatchPeriod, settings.EvacuationLimit/2)
	}
	fleet.watchPeriods = periods
	var followers []*follower
	for kind, period := range periods {
		followers = append(followers, &follower{
			kind: kind, watchPeriod: period, store: store, catalogue: fleet.catalogue, log: fleet.log, now: now,
			cutSilence: cutSilence(settings.UpstreamHeartbeat),
			shouldRead: fleet.shouldReadStore, onCall: fleet.onStoreCall, onAnswer: fleet.onStoreAnswer, onFailure: fleet.onStoreFailure,
			onChanged: fleet.publishObjects, retryDelay: fleet.retryDelay, firstWaitShare: fleet.firstWaitShare,
		})
	}
	return followers
}

// upstreamWatchPeriod returns the longest time that the pause before a watch call
// for upstreams and the wait of that call may take together, so that all routers
// know of a leaving upstream within the limit although the readers lose the store.
// The last of their calls begins just before that and is then overdue; the other
// routers begin to read if no reader is left; and a sixth of the limit is for the
// change to reach all routers.
func upstreamWatchPeriod(leaveLimit time.Duration) time.Duration {
	if leaveLimit == 0 {
		leaveLimit = defaultLeaveLimit
	}
	const takeover = answerSlack + tickInterval + noReaderTimeout + readerCheckInterval
	return min(max(leaveLimit-leaveLimit/6-takeover, minUpstreamWatchPeriod), maxUpstreamWatchPeriod)
}

// cutSilence returns the longest silence of the store in which no entry of a
// running upstream can expire. An entry expires after three heartbeats, and the
// last one may have been written one heartbeat before the store fell silent. Half
// of a heartbeat is left for late ones.
func cutSilence(heartbeat time.Duration) time.Duration {
	if heartbeat <= 0 {
		heartbeat = defaultUpstreamHeartbeat
	}
	return heartbeat * 3 / 2
}

// run follows the store until the context ends.
func (f *follower) run(ctx context.Context) {
	retry := backoff.NewExponentialBackOff()
	if f.retryDelay == nil {
		f.retryDelay = func(delay time.Duration) time.Duration { return delay }
	}
	retry.InitialInterval, retry.MaxInterval = minRetryDelay, maxRetryDelay
	for ctx.Err() == nil {
		if !f.shouldRead() {
			f.listed = false
			_ = pause.For(ctx, readerCheckInterval)
			continue
		}
		err := f.step(ctx)
		switch {
		case ctx.Err() != nil:
		case err == nil:
			f.failures = 0
			retry.Reset()
			f.paused = f.watchPause()
			_ = pause.For(ctx, f.paused)
		case errors.Is(err, ErrHistoryExpired):
			f.listed = false
			f.failures = 0
			f.log.Info().Stringer("kind", f.kind).Msg("store's history gone; listing anew")
		default:
			f.probe = true
			f.onFailure(f.kind)
			f.reportFailure(err)
			_ = pause.For(ctx, f.retryDelay(retry.NextBackOff()))
		}
	}
}

// reportFailure reports an outage of the store after a failed call. The store may
// cut off a watch that waits at any time, and the next call is then answered; in
// an outage it fails as well, or the store has been silent before.
func (f *follower) reportFailure(err error) {
	f.failures++
	if f.failures > 1 || f.catalogue.storeSilence() > f.cutSilence {
		f.catalogue.markStoreUnavailable(err)
		return
	}
	f.log.Info().Err(err).Stringer("kind", f.kind).Msg("call to the store cut off")
}

// watchPause returns the pause before the next watch call.
func (f *follower) watchPause() time.Duration {
	if f.kind == KindUpstream {
		return minUpstreamPause + rand.N(min(maxUpstreamPause, f.watchPeriod)-minUpstreamPause)
	}
	return operatorWatchInterval
}

func (f *follower) step(ctx context.Context) error {
	if !f.listed {
		return f.list(ctx)
	}
	wait := f.nextWait()
	ctx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	calledAt := f.call(wait)
	objects, at, err := f.store.Watch(ctx, f.kind, f.revision, wait)
	if err != nil {
		return err
	}
	answeredAt := calledAt
	f.latency = f.now().Sub(calledAt) - wait
	if len(objects) == 0 && f.latency >= 0 {
		answeredAt = calledAt.Add(wait)
	}
	f.probe = f.kind == KindConfig && len(objects) > 0
	f.catalogue.markStoreAvailable()
	var changed []Object
	for _, o := range objects {
		if f.catalogue.applyObject(f.kind, o, sourceStore) {
			changed = append(changed, o)
		}
	}
	f.revision = at
	f.notify(changed)
	f.onAnswer(f.kind, answeredAt)
	return nil
}

// nextWait returns the wait of the next watch call. All readers see a change at
// once. Each waits for another part of the period first, or they would call in
// step from then on, and an outage could begin with confirmations that are all as
// old as a period.
func (f *follower) nextWait() time.Duration {
	if f.probe {
		f.inStep = true
		return probeWait
	}
	wait := f.watchPeriod - f.paused
	if f.inStep {
		f.inStep = false
		wait = time.Duration(float64(wait) * f.firstWaitShare())
	}
	return max(wait, probeWait)
}

// call reports that a call begins, which the store answers after wait at the
// latest. It returns the current time.
func (f *follower) call(wait time.Duration) time.Time {
	now := f.now()
	slack := min(max(latencyMargin*f.latency, answerSlack), callTimeout)
	f.onCall(f.kind, now.Add(wait+slack))
	return now
}

// sourceStore is the source of the store's objects in log lines.
const sourceStore = "store"

func (f *follower) list(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, 2*callTimeout)
	defer cancel()
	calledAt := f.call(0)
	objects, at, err := f.store.List(ctx, f.kind)
	if err != nil {
		return err
	}
	f.latency = f.now().Sub(calledAt)
	f.catalogue.markStoreAvailable()
	f.listed, f.revision = true, at
	f.replaceAll(objects, at)
	f.onAnswer(f.kind, calledAt)
	return nil
}

// replaceAll applies a complete list of objects, read at a revision.
func (f *follower) replaceAll(objects []Object, at uint64) {
	switch f.kind {
	case KindUpstream:
		f.notify(f.catalogue.replaceUpstreams(objects, at, sourceStore))
	case KindEvacuation:
		f.notify(f.catalogue.replaceEvacuations(objects, at, sourceStore))
	default:
		for _, o := range objects {
			if f.catalogue.applyObject(f.kind, o, sourceStore) {
				f.notify([]Object{o})
			}
		}
	}
}

func (f *follower) notify(changed []Object) {
	if len(changed) > 0 {
		f.onChanged(f.kind, changed)
	}
}
