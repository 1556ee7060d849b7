package claims

import (
	"encoding/binary"
	"fmt"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/figstile/figstile/state"
	"github.com/figstile/figstile/state/result"
)

// oneEntryBytes is a segment size at which every write seals the segment.
const oneEntryBytes = 60

func newSizedRouter(name state.Router, segmentBytes int) *router {
	r := newRouter(name, 1)
	r.limits.segmentBytes = segmentBytes
	return r
}

// TestRouterLostAfterSeal checks that a shard neither stops nor grants a key
// twice if a router is lost between the write that seals a segment and the one
// that creates the next segment.
func TestRouterLostAfterSeal(t *testing.T) {
	p := &platform{}
	require.Equal(t, result.OK, newSizedRouter("pudahuel-1", oneEntryBytes).claim(p, "k", 1).Code)
	require.Equal(t, 1, p.seals)
	other := newSizedRouter("quilicura-1", oneEntryBytes)
	next := keyInShard(other, ShardOf(other.request("k", 0).Digest()))
	require.Equal(t, result.KeyInProgress, other.claim(p, "k", 1).Code)
	require.Equal(t, result.OK, other.claim(p, next, 2).Code)
	require.Equal(t, result.KeyInProgress, newSizedRouter("sala-1", oneEntryBytes).claim(p, next, 3).Code)
}

// TestLostWriteAnswers checks that a key is granted once if the answer to an
// append, a seal or the creation of a segment is lost. The write took effect,
// never does, or takes effect after it was read back, and another router
// receives the same request again.
func TestLostWriteAnswers(t *testing.T) {
	for name, bytes := range map[string]int{"append": 200, "seal": 100, "create": oneEntryBytes} {
		for _, effect := range []string{"at once", "never", "late"} {
			t.Run(name+" "+effect, func(t *testing.T) {
				p := &platform{}
				r := newSizedRouter("pudahuel-1", bytes)
				keys := keysInShard(r, 3, 3)
				require.Equal(t, result.OK, r.claim(p, keys[0], 1).Code)
				req := r.request(keys[1], 2)
				r.step(ClaimWanted{Request: req})
				r.now = r.wake
				r.step(Tick{})
				write := r.nextCall().(Write)
				require.Equal(t, name == "create", write.Slot > 0 && write.Expected == 0)
				require.Equal(t, name != "append", isSealed(write.Value))
				if effect == "at once" {
					p.write(write)
				}
				r.step(WriteDone{Shard: write.Shard, Outcome: WriteUnknown})
				r.now = r.wake
				r.step(Tick{})
				require.NotContains(t, r.decided, req.Attempt)
				r.answer(p, r.nextCall())
				if effect == "late" {
					p.write(write)
				}
				r.settle(p)
				require.Equal(t, result.OK, r.decided[req.Attempt].Code)
				require.Equal(t, WriteConflict, p.write(write).Outcome)
				require.Equal(t, result.KeyInProgress, newSizedRouter("quilicura-1", bytes).claim(p, keys[1], 3).Code)
			})
		}
	}
}

// TestPausedWriterConflictsWithSeal checks that a key is not granted twice if a
// router pauses within its write and another seals the segment and claims the
// key in a later one. A third router has an old view of the chain's end after a
// partition.
func TestPausedWriterConflictsWithSeal(t *testing.T) {
	p := &platform{}
	paused, partitioned, other := newSizedRouter("pudahuel-1", 150), newSizedRouter("sala-1", 150), newSizedRouter("quilicura-1", 150)
	keys := keysInShard(other, 3, 11)
	require.Equal(t, result.OK, partitioned.claim(p, keys[0], 1).Code)
	req := paused.request(keys[10], 1)
	paused.step(ClaimWanted{Request: req})
	paused.answer(p, paused.nextCall())
	for i, key := range keys[1:] {
		require.Equal(t, result.OK, other.claim(p, key, uint64(i)).Code)
	}
	require.GreaterOrEqual(t, p.seals, 3)
	paused.settle(p)
	require.Equal(t, result.KeyInProgress, paused.decided[req.Attempt].Code)
	partitioned.now = partitioned.now.Add(time.Second)
	require.Equal(t, result.KeyInProgress, partitioned.claim(p, keys[9], 2).Code)
}

// TestStaleFirstRead checks that a router that has just started does not grant
// a claimed key again if its first read is older than the segments that hold
// the claim.
func TestStaleFirstRead(t *testing.T) {
	for behind := range 7 {
		p := &platform{}
		r := newSizedRouter("pudahuel-1", 120)
		keys := keysInShard(r, 3, 6)
		for i, key := range keys {
			require.Equal(t, result.OK, r.claim(p, key, uint64(i)).Code)
		}
		restarted := newSizedRouter("quilicura-1", 120)
		req := restarted.request(keys[5], 1)
		restarted.step(ClaimWanted{Request: req})
		restarted.step(p.staleRead(restarted.nextCall().(Read), behind))
		restarted.settle(p)
		require.Equal(t, result.KeyInProgress, restarted.decided[req.Attempt].Code, "the first read is %d writes behind", behind)
	}
}

// TestStatusAfterSeal checks the later states of a claim in a sealed segment,
// which itself takes no more changes. A completed request must not stay in
// progress, a released key must not stay blocked, and the release of a second
// claim must not make the first one valid again.
func TestStatusAfterSeal(t *testing.T) {
	for _, bytes := range []int{oneEntryBytes, 120, SegmentBytes} {
		p := &platform{}
		r := newSizedRouter("pudahuel-1", bytes)
		done, freed := r.request("done", 1), r.request("freed", 2)
		for _, req := range []Request{done, freed} {
			require.Equal(t, result.OK, r.claim(p, req.Key, req.Attempt.Sequence).Code)
		}
		r.step(RequestFinished{Request: done, Ran: result.RanYes})
		r.step(RequestFinished{Request: freed, Ran: result.RanNo})
		r.settle(p)
		require.Equal(t, result.KeyCompleted, newSizedRouter("quilicura-1", bytes).claim(p, "done", 1).Code)
		for i, name := range []state.Router{"quilicura-1", "sala-1"} {
			second := newSizedRouter(name, bytes)
			req := second.request("freed", 2)
			require.Equal(t, result.OK, second.claim(p, "freed", 2).Code)
			r.step(RequestFinished{Request: freed, Ran: result.RanNo})
			r.settle(p)
			require.Equal(t, result.KeyInProgress, r.claim(p, "freed", uint64(10+i)).Code, "the repeated release of an earlier claim does not free the key")
			second.step(RequestFinished{Request: req, Ran: result.RanNo})
			second.settle(p)
		}
		require.Equal(t, result.OK, newSizedRouter("sala-2", bytes).claim(p, "freed", 1).Code)
	}
}

// TestChainReusesSlots checks that a chain does not grow without bound and that
// slots are reused only once their entries have expired. A segment overwritten
// within the retention would let a request run again. A router that was idle
// all the while must follow as well.
func TestChainReusesSlots(t *testing.T) {
	p := &platform{}
	r, idle := newSizedRouter("pudahuel-1", oneEntryBytes), newSizedRouter("quilicura-1", oneEntryBytes)
	for _, each := range []*router{r, idle} {
		each.limits.slots, each.limits.reservedSlots = 8, 1
	}
	keys := keysInShard(r, 3, 8)
	require.Equal(t, result.OK, idle.claim(p, keys[7], 1).Code)
	for period := range 10 {
		for i, key := range keys[:6] {
			require.Equal(t, result.OK, r.claim(p, key, uint64(100*period+i)).Code, "period %d", period)
		}
		idle.now = r.now
		restarted := newSizedRouter("sala-1", oneEntryBytes)
		restarted.limits, restarted.now = r.limits, r.now
		require.Equal(t, result.KeyInProgress, restarted.claim(p, keys[0], uint64(period)).Code)
		require.LessOrEqual(t, len(r.shards[3].chain.entries), 8)
		r.now = r.now.Add(Retention + clockSkew + time.Minute)
	}
	require.Equal(t, result.KeyInProgress, idle.claim(p, keys[1], 2).Code)
	before := p.seals
	full := newSizedRouter("sala-2", oneEntryBytes)
	full.limits, full.now = r.limits, idle.now
	require.Equal(t, result.OK, full.claim(p, keys[6], 1).Code)
	res := full.claim(p, keys[7], 2)
	require.Equal(t, result.ClaimUnavailable, res.Code, "no slot is free for another claim")
	require.Equal(t, result.RanNo, res.Ran)
	require.Equal(t, before+1, p.seals)
	emptiedSegments := slices.DeleteFunc(slices.Clone(p.history[3]), func(o StoredSegment) bool {
		segment, err := Decode(o.Value)
		return err != nil || len(segment.Entries) > 0
	})
	require.NotEmpty(t, emptiedSegments, "expired segments must be emptied")
}

// TestNoFreeSlot checks that completions of a full shard do not overwrite the
// slot that holds their claim, which would let the request run again. They wait
// until the slot has expired.
func TestNoFreeSlot(t *testing.T) {
	p := &platform{}
	r := newSizedRouter("pudahuel-1", oneEntryBytes)
	r.limits.slots, r.limits.reservedSlots = 4, 1
	keys := keysInShard(r, 3, 4)
	for i, key := range keys[:3] {
		require.Equal(t, result.OK, r.claim(p, key, uint64(i)).Code)
	}
	require.Equal(t, result.ClaimUnavailable, r.claim(p, keys[3], 3).Code)
	for i, key := range keys[:2] {
		r.step(RequestFinished{Request: r.request(key, uint64(i)), Ran: result.RanYes})
		for range 10 {
			r.now = latest(r.now, r.wake)
			r.step(Tick{})
			for len(r.calls) > 0 {
				r.answer(p, r.nextCall())
			}
		}
	}
	require.Equal(t, 1, r.Pending())
	restarted := newSizedRouter("quilicura-1", oneEntryBytes)
	restarted.limits = r.limits
	for i, key := range keys[:3] {
		require.Equal(t, result.ClaimUnavailable, restarted.claim(p, key, uint64(i)).Code)
		restarted.now = restarted.now.Add(unavailableRetry)
	}
	r.now = r.now.Add(Retention + 2*clockSkew)
	r.settle(p)
	require.Equal(t, result.OK, r.claim(p, keys[3], 4).Code)
}

// TestGapRefusesClaims checks that claims are refused if a segment of the chain
// is missing or in the wrong place, since it may hold the claim of the same
// key.
func TestGapRefusesClaims(t *testing.T) {
	segment := func(number uint64, sealed bool) []byte {
		value, err := (&Segment{Number: number, Sealed: sealed}).Encode()
		require.NoError(t, err)
		return value
	}
	for name, values := range map[string]map[int][]byte{
		"first missing":  {1: segment(1, false)},
		"middle missing": {0: segment(0, true), 2: segment(2, false)},
		"middle open":    {0: segment(0, true), 1: segment(1, false), 2: segment(2, false)},
		"wrong slot":     {0: segment(1, true), 1: segment(0, true)},
		"later format":   {0: segment(0, true), 1: []byte("a later format")},
	} {
		p := &platform{}
		r := newRouter("pudahuel-1", 1)
		for slot, value := range values {
			p.write(Write{Shard: 3, Slot: slot, Value: value})
		}
		before := p.writes
		require.Equal(t, result.ClaimUnavailable, r.claim(p, keysInShard(r, 3, 1)[0], 1).Code, name)
		require.Equal(t, before, p.writes, name)
	}
}

// TestOversizedSegment checks that claims of a shard are not refused until the
// retention ends because a router with a larger segment size left an open
// segment without space for another claim.
func TestOversizedSegment(t *testing.T) {
	p := &platform{}
	r := newRouter("pudahuel-1", 1)
	key := keyInShard(r, 3)
	large := &Segment{}
	for _, segment := range completedSegments((MaxShardBytes - 60) / entryBytes) {
		large.Entries = append(large.Entries, segment.Entries...)
	}
	value, err := large.Encode()
	require.NoError(t, err)
	require.Equal(t, WriteOK, p.write(Write{Shard: 3, Value: value}).Outcome)
	require.Equal(t, result.OK, r.claim(p, key, 1).Code)
	kept, err := Decode(p.stored(3, 0).Value)
	require.NoError(t, err)
	require.True(t, kept.Sealed)
	require.Equal(t, large.Entries, kept.Entries)
	require.Equal(t, result.KeyInProgress, newRouter("quilicura-1", 1).claim(p, key, 1).Code)
}

// BenchmarkMemoryPerKey reports the heap memory used by a key in a sealed
// segment, in bytes.
func BenchmarkMemoryPerKey(b *testing.B) {
	for _, keys := range []int{1000, 10_000, MaxKeys} {
		b.Run(fmt.Sprint(keys), func(b *testing.B) { benchmarkMemory(b, keys) })
	}
}

func benchmarkMemory(b *testing.B, keys int) {
	var before, after runtime.MemStats
	for b.Loop() {
		runtime.GC()
		runtime.ReadMemStats(&before)
		c := newChain()
		for _, segment := range completedSegments(keys) {
			c.merge(segment, 1)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		runtime.KeepAlive(c)
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(keys), "B/key")
}

// completedSegments returns sealed segments that hold the given number of
// completed keys.
func completedSegments(keys int) []*Segment {
	const perSegment = SegmentBytes / entryBytes
	var segments []*Segment
	for i := range keys {
		if i%perSegment == 0 {
			segments = append(segments, &Segment{Number: uint64(len(segments)), Sealed: true})
		}
		last := segments[len(segments)-1]
		e := Entry{Claim: state.AttemptID{Router: "old", Incarnation: 1, Sequence: uint64(i)}, Status: StatusCompleted, ClaimedAt: epoch}
		binary.BigEndian.PutUint64(e.Digest[8:], uint64(i))
		last.Entries = append(last.Entries, e)
	}
	return segments
}
