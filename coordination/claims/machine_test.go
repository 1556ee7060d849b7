package claims

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/figstile/figstile/state"
	"github.com/figstile/figstile/state/result"
)

var epoch = time.Date(2026, 3, 2, 8, 0, 0, 0, time.UTC)

// platform is a store of chains. The test decides when a call takes effect and
// whether its answer arrives.
type platform struct {
	version Version
	// history holds the writes to each shard in their order.
	history [Shards][]StoredSegment

	reads, wholeReads, writes, conflicts, seals int
	readBytes, wholeReadBytes, writtenBytes     int
}

func (p *platform) read(a Read) ReadDone {
	p.reads++
	done := p.staleRead(a, 0)
	size := len(done.Value)
	for _, o := range done.Others {
		size += len(o.Value)
	}
	p.readBytes += size
	if a.WholeChain {
		p.wholeReads++
		p.wholeReadBytes += size
	}
	return done
}

// staleRead reads a shard as it was before the given number of latest writes.
func (p *platform) staleRead(a Read, behind int) ReadDone {
	past := p.history[a.Shard]
	slots := map[int]StoredSegment{}
	for _, o := range past[:max(len(past)-behind, 0)] {
		slots[o.Slot] = o
	}
	done := ReadDone{Shard: a.Shard, Outcome: ReadOK, Version: slots[a.Slot].Version, Value: slots[a.Slot].Value}
	for slot, o := range slots {
		if a.WholeChain && slot != a.Slot {
			done.Others = append(done.Others, o)
		}
	}
	return done
}

func (p *platform) stored(shard, slot int) StoredSegment {
	for _, o := range slices.Backward(p.history[shard]) {
		if o.Slot == slot {
			return o
		}
	}
	return StoredSegment{Slot: slot}
}

// write replaces an object if it has the expected version.
func (p *platform) write(a Write) WriteDone {
	p.writes++
	p.writtenBytes += len(a.Value)
	if p.stored(a.Shard, a.Slot).Version != a.Expected {
		p.conflicts++
		return WriteDone{Shard: a.Shard, Outcome: WriteConflict}
	}
	if isSealed(a.Value) {
		p.seals++
	}
	p.version++
	p.history[a.Shard] = append(p.history[a.Shard], StoredSegment{Slot: a.Slot, Version: p.version, Value: a.Value})
	return WriteDone{Shard: a.Shard, Outcome: WriteOK, Version: p.version}
}

func isSealed(value []byte) bool {
	segment, err := Decode(value)
	return err == nil && segment.Sealed
}

// router is a machine with its decisions and its calls in flight.
type router struct {
	*Machine
	now     time.Time
	decided map[state.AttemptID]result.Result
	calls   []Action
	wake    time.Time
}

func newRouter(name state.Router, incarnation state.Incarnation) *router {
	return &router{Machine: NewMachine(name, incarnation), now: epoch, decided: map[state.AttemptID]result.Result{}}
}

func (r *router) step(event Event) {
	for _, action := range r.Step(r.now, event) {
		switch a := action.(type) {
		case Decide:
			if _, twice := r.decided[a.Attempt]; twice {
				panic("a claim was decided twice")
			}
			r.decided[a.Attempt] = a.Result
		case Wake:
			r.wake = a.At
		default:
			r.calls = append(r.calls, action)
		}
	}
}

// nextCall removes and returns the oldest call in flight.
func (r *router) nextCall() Action {
	call := r.calls[0]
	r.calls = r.calls[1:]
	return call
}

func (r *router) answer(p *platform, call Action) {
	switch a := call.(type) {
	case Read:
		r.step(p.read(a))
	case Write:
		r.step(p.write(a))
	}
}

// settle answers all calls and advances the time until no change is pending.
func (r *router) settle(p *platform) {
	for {
		switch {
		case len(r.calls) > 0:
			r.answer(p, r.nextCall())
		case r.Pending() > 0:
			r.now = latest(r.now, r.wake)
			r.step(Tick{})
		default:
			return
		}
	}
}

func (r *router) request(key string, sequence uint64) Request {
	return Request{
		Workspace: "lan", Service: "bookings", Key: key,
		Attempt: state.AttemptID{Router: r.self.router, Incarnation: r.self.incarnation, Sequence: sequence},
	}
}

// claim requests a claim, settles, and returns the decision.
func (r *router) claim(p *platform, key string, sequence uint64) result.Result {
	req := r.request(key, sequence)
	r.step(ClaimWanted{Request: req})
	r.settle(p)
	res, ok := r.decided[req.Attempt]
	if !ok {
		panic("a claim was left undecided")
	}
	return res
}

// TestSameKeyAtTwoRouters checks that a key is granted once if a caller sends a
// request to two routers at the same moment and both read the shard before
// either writes.
func TestSameKeyAtTwoRouters(t *testing.T) {
	p := &platform{}
	a, b := newRouter("pudahuel-1", 1), newRouter("quilicura-1", 1)
	reqA, reqB := a.request("k", 1), b.request("k", 1)
	a.step(ClaimWanted{Request: reqA})
	b.step(ClaimWanted{Request: reqB})
	a.answer(p, a.nextCall())
	b.answer(p, b.nextCall())
	a.settle(p)
	b.settle(p)
	require.Equal(t, result.OK, a.decided[reqA.Attempt].Code)
	require.Equal(t, result.KeyInProgress, b.decided[reqB.Attempt].Code)
	require.Equal(t, result.RanUnknown, b.decided[reqB.Attempt].Ran)

	a.step(RequestFinished{Request: reqA, Ran: result.RanYes})
	a.settle(p)
	require.Equal(t, result.KeyCompleted, b.claim(p, "k", 2).Code)
}

// TestResendAfterCrash checks that a request does not run again after its
// router was replaced between claim and dispatch, since it is unknown whether
// it was sent.
func TestResendAfterCrash(t *testing.T) {
	p := &platform{}
	require.Equal(t, result.OK, newRouter("pudahuel-1", 1).claim(p, "k", 1).Code)
	restarted := newRouter("pudahuel-1", 2)
	require.Equal(t, result.KeyUnknown, restarted.claim(p, "k", 1).Code)
	other := newRouter("quilicura-1", 1)
	require.Equal(t, result.KeyInProgress, other.claim(p, "k", 1).Code)
	other.now = other.now.Add(maxInProgressTime + time.Second)
	require.Equal(t, result.KeyUnknown, other.claim(p, "k", 2).Code)
	other.now = other.now.Add(Retention + clockSkew)
	require.Equal(t, result.OK, other.claim(p, "k", 3).Code)
}

// TestLostAnswerIsReadBack checks that a request runs although the platform's
// answer to the write of its claim was lost. Reading the segment again finds
// the router's own claim, whether the write took effect before that read or
// only after it.
func TestLostAnswerIsReadBack(t *testing.T) {
	for _, takesEffectLate := range []bool{false, true} {
		p := &platform{}
		r := newRouter("pudahuel-1", 1)
		req := r.request("k", 1)
		r.step(ClaimWanted{Request: req})
		r.answer(p, r.nextCall())
		write := r.nextCall().(Write)
		if !takesEffectLate {
			p.write(write)
		}
		r.step(WriteDone{Shard: write.Shard, Outcome: WriteUnknown})
		require.Empty(t, r.decided, "a write with an unknown outcome decides no claim")
		r.now = r.wake
		r.step(Tick{})
		r.answer(p, r.nextCall())
		if takesEffectLate {
			p.write(write)
		}
		r.settle(p)
		require.Equal(t, result.OK, r.decided[req.Attempt].Code)
	}
}

// TestUnsettledClaimIsReleased covers a caller that was answered "not run"
// because the platform became unavailable within the write, which may still
// take effect. The claim must be released by the time its key is claimed again,
// or the answer would be "in progress" for the whole retention.
func TestUnsettledClaimIsReleased(t *testing.T) {
	for _, effect := range []string{"never", "before the outage", "after the first read back"} {
		t.Run(effect, func(t *testing.T) {
			p := &platform{}
			r := newRouter("pudahuel-1", 1)
			req := r.request("k", 1)
			r.step(ClaimWanted{Request: req})
			r.answer(p, r.nextCall())
			write := r.nextCall().(Write)
			if effect == "before the outage" {
				p.write(write)
			}
			r.step(WriteDone{Shard: write.Shard, Outcome: WriteUnknown})
			r.now = r.wake
			r.step(Tick{})
			r.step(ReadDone{Shard: r.nextCall().(Read).Shard, Outcome: ReadFailed})
			require.Equal(t, result.ClaimUnavailable, r.decided[req.Attempt].Code)
			require.Equal(t, result.RanNo, r.decided[req.Attempt].Ran)

			r.now = r.wake
			r.step(Tick{})
			r.answer(p, r.nextCall())
			if effect == "after the first read back" {
				p.write(write)
			}
			r.settle(p)
			require.Equal(t, result.OK, newRouter("quilicura-1", 1).claim(p, "k", 1).Code)
			require.Equal(t, WriteConflict, p.write(write).Outcome, "the late write must not take effect any more")
		})
	}
}

// TestPausedClaimer checks that a request does not run twice if a router pauses
// within its write and the caller sends it again to another router. When the
// paused router resumes, its write gets a conflict, or takes effect so late
// that its caller no longer waits.
func TestPausedClaimer(t *testing.T) {
	p := &platform{}
	paused, other := newRouter("pudahuel-1", 1), newRouter("quilicura-1", 1)
	req := paused.request("k", 1)
	paused.step(ClaimWanted{Request: req})
	paused.answer(p, paused.nextCall())
	require.Equal(t, result.OK, other.claim(p, "k", 1).Code)
	paused.now = paused.now.Add(time.Hour)
	paused.settle(p)
	require.Equal(t, result.KeyUnknown, paused.decided[req.Attempt].Code)

	late := paused.request("k2", 2)
	paused.step(ClaimWanted{Request: late})
	paused.now = paused.now.Add(maxDecisionTime + time.Second)
	paused.settle(p)
	require.Equal(t, result.ClaimUnavailable, paused.decided[late.Attempt].Code)
	require.Equal(t, result.OK, other.claim(p, "k2", 2).Code, "the late claim was released")
}

// TestPlatformUnavailable checks that requests do not wait for a timeout each
// while the platform is unavailable. After the first failure claims are refused
// at once, and one call at a time checks whether the platform answers again.
func TestPlatformUnavailable(t *testing.T) {
	p := &platform{}
	r := newRouter("pudahuel-1", 1)
	first := r.request("k0", 1)
	r.step(ClaimWanted{Request: first})
	r.step(ReadDone{Shard: r.nextCall().(Read).Shard, Outcome: ReadFailed})
	for i := range 100 {
		req := r.request(fmt.Sprint("k", i+1), uint64(i+2))
		r.step(ClaimWanted{Request: req})
		res := r.decided[req.Attempt]
		require.Equal(t, result.ClaimUnavailable, res.Code)
		require.Equal(t, result.RanNo, res.Ran)
		require.Positive(t, res.RetryAfter)
	}
	require.Empty(t, r.calls)

	r.now = r.now.Add(unavailableRetry)
	probe := r.request("probe", 200)
	r.step(ClaimWanted{Request: probe})
	meanwhile := r.request("meanwhile", 201)
	r.step(ClaimWanted{Request: meanwhile})
	require.Len(t, r.calls, 1)
	require.Equal(t, result.ClaimUnavailable, r.decided[meanwhile.Attempt].Code)
	r.settle(p)
	require.Equal(t, result.OK, r.decided[probe.Attempt].Code)
	require.Equal(t, result.OK, r.claim(p, "k0", 202).Code)
}

// TestFullShard checks that a full shard refuses new claims instead of dropping
// old ones, which would let a request run twice, and that it still accepts
// completions and releases.
func TestFullShard(t *testing.T) {
	p := &platform{}
	r := newRouter("pudahuel-1", 1)
	r.limits.maxKeys = 40
	completed, released := r.request("held", 1), r.request(keyInShard(r, ShardOf(r.request("held", 0).Digest())), 2)
	at := ShardOf(completed.Digest())
	for _, req := range []Request{completed, released} {
		r.step(ClaimWanted{Request: req})
		r.settle(p)
		require.Equal(t, result.OK, r.decided[req.Attempt].Code)
	}
	shard, err := Decode(p.stored(at, 0).Value)
	require.NoError(t, err)
	d := newDraft(shard, newChain(), epoch)
	for i := range r.limits.maxKeys - 2 {
		d.put(Entry{Digest: Digest{0xff, byte(i >> 16), byte(i >> 8), byte(i)}, Claim: completed.Attempt, Status: StatusRunning, ClaimedAt: epoch})
	}
	value, err := d.build().Encode()
	require.NoError(t, err)
	require.Equal(t, WriteOK, p.write(Write{Shard: at, Expected: p.stored(at, 0).Version, Value: value}).Outcome)

	keys := keysInShard(r, at, 3)
	other := newRouter("quilicura-1", 1)
	other.limits = r.limits
	res := other.claim(p, keys[1], 2)
	require.Equal(t, result.ClaimUnavailable, res.Code)
	require.Equal(t, result.RanNo, res.Ran)
	r.step(RequestFinished{Request: completed, Ran: result.RanYes})
	r.settle(p)
	require.Equal(t, result.KeyCompleted, r.claim(p, "held", 3).Code)
	require.Equal(t, result.ClaimUnavailable, r.claim(p, keys[1], 4).Code)
	r.step(RequestFinished{Request: released, Ran: result.RanNo})
	r.settle(p)
	require.Equal(t, result.OK, r.claim(p, released.Key, 5).Code, "a released key no longer counts towards the limit")
	r.now = r.now.Add(Retention + clockSkew + time.Second)
	require.Equal(t, result.OK, r.claim(p, keys[2], 6).Code, "expired keys no longer count towards the limit")
}

// keysInShard returns n keys that belong to a shard.
func keysInShard(r *router, shard, n int) []string {
	var keys []string
	for i := 0; len(keys) < n; i++ {
		key := fmt.Sprint("other-", i)
		if ShardOf(r.request(key, 0).Digest()) == shard {
			keys = append(keys, key)
		}
	}
	return keys
}

// keyInShard returns a key that belongs to a shard.
func keyInShard(r *router, shard int) string { return keysInShard(r, shard, 1)[0] }

// TestUnknownFormatIsNotOverwritten checks that an object in a format of a
// later version is not overwritten.
func TestUnknownFormatIsNotOverwritten(t *testing.T) {
	p := &platform{}
	for i := range p.history {
		p.write(Write{Shard: i, Value: []byte("a later format")})
	}
	before := p.writes
	r := newRouter("pudahuel-1", 1)
	require.Equal(t, result.ClaimUnavailable, r.claim(p, "k", 1).Code)
	require.Equal(t, before, p.writes)
}

// TestOneRoundAtATime checks that only one of several claims of a key is
// granted. A round that releases a late claim queues its shard again while its
// own write is in flight. A second round would then be mixed with the first,
// whose answer would grant all claims.
func TestOneRoundAtATime(t *testing.T) {
	p := &platform{}
	r := newRouter("pudahuel-1", 1)
	late := r.request("late", 1)
	r.step(ClaimWanted{Request: late})
	r.answer(p, r.nextCall())
	write := r.nextCall().(Write)
	p.write(write)
	r.now = r.now.Add(maxDecisionTime + time.Second)
	r.step(WriteDone{Shard: write.Shard, Outcome: WriteUnknown})
	key := keyInShard(r, write.Shard)
	r.step(ClaimWanted{Request: r.request(key, 2)})
	r.answer(p, r.nextCall())
	require.Equal(t, result.ClaimUnavailable, r.decided[late.Attempt].Code)

	granted := 0
	for sequence := uint64(3); sequence < 6; sequence++ {
		r.now = r.now.Add(time.Second)
		r.step(ClaimWanted{Request: r.request("late", sequence)})
		require.Len(t, r.calls, 1)
	}
	r.settle(p)
	for sequence := uint64(3); sequence < 6; sequence++ {
		if r.decided[r.request("late", sequence).Attempt].Code == result.OK {
			granted++
		}
	}
	require.Equal(t, 1, granted)
}

// TestStaleReadKeepsRelease checks that a key that was released after "not run"
// does not stay blocked for the whole retention if the read before the release
// is older than the claim.
func TestStaleReadKeepsRelease(t *testing.T) {
	p := &platform{}
	r, other := newRouter("pudahuel-1", 1), newRouter("quilicura-1", 1)
	req := r.request("k", 1)
	require.Equal(t, result.OK, r.claim(p, "k", 1).Code)
	shard := ShardOf(req.Digest())
	require.Equal(t, result.OK, other.claim(p, keyInShard(r, shard), 1).Code)
	r.step(RequestFinished{Request: req, Ran: result.RanNo})
	r.now = r.wake
	r.step(Tick{})
	r.answer(p, r.nextCall())
	r.now = r.wake
	r.step(Tick{})
	r.step(p.staleRead(r.nextCall().(Read), 2))
	r.settle(p)
	other.now = r.now
	require.Equal(t, result.OK, other.claim(p, "k", 2).Code)
}
