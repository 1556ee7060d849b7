package claims

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/figstile/figstile/state"
	"github.com/figstile/figstile/state/result"
)

// fleet runs several routers against a platform. Answers of the platform get
// lost, writes take effect late, and routers crash.
type fleet struct {
	t       *rapid.T
	p       *platform
	routers []*router
	keys    []string
	// lateWrites holds writes whose answer is no longer awaited and that may
	// still take effect.
	lateWrites []Write
	// pending, granted and running hold the requests of each router by state.
	pending, granted [][]Request
	running          [][]Request
	sequence         uint64
	runs             map[string]int
	// grantedKeys holds the keys of requests that some router has the right to
	// run or has run.
	grantedKeys map[string]bool
	// uncertainKeys holds the keys whose claimer crashed, and those that may be
	// running.
	uncertainKeys map[string]bool
	limits        limits
}

func newFleet(t *rapid.T) *fleet {
	f := &fleet{t: t, p: &platform{}, runs: map[string]int{}, grantedKeys: map[string]bool{}, uncertainKeys: map[string]bool{}}
	f.limits = newRouter("r", 1).limits
	// Two to four entries fill a segment of this size.
	f.limits.segmentBytes = rapid.IntRange(72, 140).Draw(t, "segment bytes")
	if rapid.Bool().Draw(t, "few slots") {
		f.limits.slots, f.limits.reservedSlots = 12, 1
	}
	for i := range 3 {
		f.routers = append(f.routers, newRouter(state.Router(fmt.Sprint("r", i)), 1))
		f.routers[i].limits = f.limits
	}
	first := f.routers[0]
	f.keys = []string{"k", keyInShard(first, ShardOf(first.request("k", 0).Digest())), "elsewhere"}
	f.pending = make([][]Request, len(f.routers))
	f.granted = make([][]Request, len(f.routers))
	f.running = make([][]Request, len(f.routers))
	return f
}

func (f *fleet) pick(label string, n int) int {
	return rapid.IntRange(0, n-1).Draw(f.t, label)
}

func removeAt[T any](list *[]T, i int) T {
	item := (*list)[i]
	*list = slices.Delete(*list, i, i+1)
	return item
}

func (f *fleet) step(i int, event Event) {
	f.routers[i].step(event)
	f.checkDecisions(i)
}

// checkDecisions checks the decisions of a router.
func (f *fleet) checkDecisions(i int) {
	r := f.routers[i]
	f.pending[i] = slices.DeleteFunc(f.pending[i], func(req Request) bool {
		res, decided := r.decided[req.Attempt]
		if !decided {
			return false
		}
		switch {
		case res.Code == result.OK:
			require.False(f.t, f.grantedKeys[req.Key], "key %s was granted twice", req.Key)
			f.grantedKeys[req.Key] = true
			f.granted[i] = append(f.granted[i], req)
		case res.Code == result.KeyCompleted:
			require.Equal(f.t, 1, f.runs[req.Key], "a request was answered as completed, but it did not run exactly once")
		case res.Code == result.ClaimUnavailable:
			require.Equal(f.t, result.RanNo, res.Ran)
		default:
			require.Equal(f.t, result.RanUnknown, res.Ran)
		}
		return true
	})
}

func (f *fleet) requestClaim(i int) {
	f.sequence++
	req := f.routers[i].request(f.keys[f.pick("key", len(f.keys))], f.sequence)
	f.pending[i] = append(f.pending[i], req)
	f.step(i, ClaimWanted{Request: req})
}

// endCall ends one call of a router with one of the results that a network can
// cause.
func (f *fleet) endCall(i int) {
	r := f.routers[i]
	if len(r.calls) == 0 {
		return
	}
	outcome := f.pick("result of the call", 6)
	switch a := removeAt(&r.calls, f.pick("call", len(r.calls))).(type) {
	case Read:
		switch outcome {
		case 0:
			f.step(i, ReadDone{Shard: a.Shard, Outcome: ReadFailed})
		case 1:
			f.step(i, f.p.staleRead(a, f.pick("version", 8)))
		default:
			f.step(i, f.p.read(a))
		}
	case Write:
		f.endWrite(i, a, outcome)
	}
}

func (f *fleet) endWrite(i int, a Write, outcome int) {
	lost := WriteDone{Shard: a.Shard, Outcome: WriteUnknown}
	switch outcome {
	case 0:
		f.step(i, WriteDone{Shard: a.Shard, Outcome: WriteUnavailable})
	case 1:
		f.p.write(a)
		f.step(i, lost)
	case 2:
		f.lateWrites = append(f.lateWrites, a)
		f.step(i, lost)
	default:
		f.step(i, f.p.write(a))
	}
}

// actAsHost performs one step of a router's host, which uses, withdraws or
// finishes claims.
func (f *fleet) actAsHost(i int) {
	switch f.pick("host", 4) {
	case 0:
		if len(f.pending[i]) > 0 {
			f.step(i, ClaimWithdrawn{Request: removeAt(&f.pending[i], 0)})
		}
	case 1:
		if len(f.granted[i]) > 0 {
			f.releaseGranted(i, removeAt(&f.granted[i], 0))
		}
	case 2:
		if len(f.granted[i]) > 0 {
			req := removeAt(&f.granted[i], 0)
			f.runs[req.Key]++
			require.LessOrEqual(f.t, f.runs[req.Key], 1, "the request with key %s ran twice", req.Key)
			f.running[i] = append(f.running[i], req)
		}
	default:
		if len(f.running[i]) > 0 {
			ran := rapid.SampledFrom([]result.Ran{result.RanYes, result.RanUnknown}).Draw(f.t, "ran")
			f.step(i, RequestFinished{Request: removeAt(&f.running[i], 0), Ran: ran})
		}
	}
}

// releaseGranted ends a granted request that was not sent.
func (f *fleet) releaseGranted(i int, req Request) {
	f.grantedKeys[req.Key] = false
	f.step(i, RequestFinished{Request: req, Ran: result.RanNo})
}

// crash replaces a router. Its writes in flight may still take effect.
func (f *fleet) crash(i int) {
	old := f.routers[i]
	for _, list := range [][]Request{f.pending[i], f.granted[i], f.running[i]} {
		for _, req := range list {
			f.uncertainKeys[req.Key] = true
		}
	}
	if old.Pending() > 0 {
		for _, key := range f.keys {
			f.uncertainKeys[key] = true
		}
	}
	for _, call := range old.calls {
		if w, ok := call.(Write); ok {
			f.lateWrites = append(f.lateWrites, w)
		}
	}
	fresh := newRouter(old.self.router, old.self.incarnation+1)
	fresh.now = old.now
	fresh.limits = f.limits
	f.routers[i] = fresh
	f.pending[i], f.granted[i], f.running[i] = nil, nil, nil
}

// expireClaims ends all requests and advances the time until their claims
// expire, after which each key may run again.
func (f *fleet) expireClaims() {
	for i, r := range f.routers {
		for len(f.pending[i]) > 0 {
			f.step(i, ClaimWithdrawn{Request: removeAt(&f.pending[i], 0)})
		}
		for len(f.granted[i]) > 0 {
			f.releaseGranted(i, removeAt(&f.granted[i], 0))
		}
		for len(f.running[i]) > 0 {
			f.step(i, RequestFinished{Request: removeAt(&f.running[i], 0), Ran: result.RanYes})
		}
		r.now = r.now.Add(Retention + 2*clockSkew)
	}
	clear(f.runs)
	clear(f.grantedKeys)
}

func (f *fleet) randomAction() {
	i := f.pick("router", len(f.routers))
	switch f.pick("action", 11) {
	case 0, 1:
		f.requestClaim(i)
	case 2, 3, 4:
		f.endCall(i)
	case 5, 6:
		f.actAsHost(i)
	case 7:
		f.routers[i].now = f.routers[i].now.Add(time.Duration(f.pick("ms", 5000)) * time.Millisecond)
		f.step(i, Tick{})
	case 8:
		if len(f.lateWrites) > 0 {
			f.p.write(removeAt(&f.lateWrites, f.pick("late write", len(f.lateWrites))))
		}
	case 9:
		if f.pick("crash", 4) == 0 {
			f.crash(i)
		}
	default:
		if f.pick("expire claims", 4) == 0 {
			f.expireClaims()
		}
	}
}

// TestAtMostOneRun runs claims, crashes, lost answers and late writes in random
// order. No key runs twice, every answer to a caller is correct, and at the end
// every key that did not run and was not claimed by a crashed router is free.
// Most runs seal some segments, because segments are small.
func TestAtMostOneRun(t *testing.T) {
	runs, sealing := 0, 0
	// The hundred runs of one check are too few to reach rare orders of events.
	// Half of the runs have so few slots that chains reuse them, and claims may
	// find no free slot.
	for range 40 {
		rapid.Check(t, func(t *rapid.T) {
			f := newFleet(t)
			for range f.pick("steps", 120) + 30 {
				f.randomAction()
			}
			f.checkAtRest()
			runs++
			if f.p.seals > 0 {
				sealing++
			}
		})
	}
	t.Logf("%d of %d runs sealed segments", sealing, runs)
	require.Greater(t, 2*sealing, runs)
}

func (f *fleet) checkAtRest() {
	for i, r := range f.routers {
		r.settle(f.p)
		f.checkDecisions(i)
		for _, req := range f.granted[i] {
			f.releaseGranted(i, req)
		}
		f.granted[i] = nil
		r.settle(f.p)
	}
	for _, write := range f.lateWrites {
		f.p.write(write)
	}
	last := f.routers[0]
	last.now = last.now.Add(unavailableRetry)
	for _, key := range f.keys {
		f.sequence++
		res := last.claim(f.p, key, f.sequence)
		switch {
		case f.runs[key] > 0:
			require.NotEqual(f.t, result.OK, res.Code, "the request with key %s would run again", key)
		case !f.uncertainKeys[key] && f.limits.slots == Slots:
			require.Equal(f.t, result.OK, res.Code, "the request with key %s never ran, and the key is blocked", key)
		}
	}
}
