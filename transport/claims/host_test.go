package claims

import (
	"context"
	"errors"
	"maps"
	"slices"
	"strings"
	"sync"
	"testing"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/figstile/figstile/coordination/claims"
	"github.com/figstile/figstile/state"
	"github.com/figstile/figstile/state/result"
	"github.com/figstile/figstile/transport/objectstore"
)

// memoryStore is an object store in memory. If putFault is set, it decides how
// the next write ends; it may call apply to let the write take effect first.
type memoryStore struct {
	objectstore.Store
	mu          sync.Mutex
	objects     map[string]objectstore.Object
	version     objectstore.Version
	putFault    func(apply func()) error
	unavailable bool
}

func (m *memoryStore) Get(ctx context.Context, key string) (objectstore.Object, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.unavailable {
		return objectstore.Object{}, objectstore.ErrUnavailable
	}
	object, ok := m.objects[key]
	if !ok {
		return object, objectstore.ErrNotFound
	}
	return object, ctx.Err()
}

func (m *memoryStore) List(ctx context.Context, prefix string) ([]objectstore.Object, objectstore.Version, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.unavailable {
		return nil, 0, objectstore.ErrUnavailable
	}
	var matching []objectstore.Object
	for _, key := range slices.Sorted(maps.Keys(m.objects)) {
		if strings.HasPrefix(key, prefix) {
			matching = append(matching, m.objects[key])
		}
	}
	return matching, m.version, ctx.Err()
}

func (m *memoryStore) Put(_ context.Context, key string, value []byte, expected objectstore.Version) (objectstore.Version, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.unavailable {
		return 0, objectstore.ErrUnavailable
	}
	if current := m.objects[key].Version; current != expected {
		return 0, &objectstore.ConflictError{Key: key, Current: current}
	}
	apply := func() {
		m.version++
		m.objects[key] = objectstore.Object{Key: key, Version: m.version, Value: value}
	}
	if fault := m.putFault; fault != nil {
		m.putFault = nil
		return 0, fault(apply)
	}
	apply()
	return m.version, nil
}

func startHost(t *testing.T, store *memoryStore, router state.Router) *Host {
	t.Helper()
	system := actor.NewActorSystem()
	t.Cleanup(system.Shutdown)
	return NewHost(Options{Router: router, Incarnation: 1, Store: store, System: system, Log: zerolog.Nop()})
}

func newRequest(router state.Router, key string, sequence uint64) claims.Request {
	return claims.Request{
		Workspace: "lan", Service: "bookings", Key: key,
		Attempt: state.AttemptID{Router: router, Incarnation: 1, Sequence: sequence},
	}
}

func TestHostClaimsOverTheStore(t *testing.T) {
	ctx := context.Background()
	store := &memoryStore{objects: map[string]objectstore.Object{}}
	a, b := startHost(t, store, "a"), startHost(t, store, "b")
	first := newRequest("a", "k", 1)
	require.Equal(t, result.OK, a.Claim(ctx, first).Code)
	require.Equal(t, result.KeyInProgress, b.Claim(ctx, newRequest("b", "k", 1)).Code)
	a.Complete(first, result.RanYes)
	require.NoError(t, a.Close(ctx), "closing writes the completion")
	require.Equal(t, result.Draining, a.Claim(ctx, newRequest("a", "k2", 2)).Code)
	require.Equal(t, result.KeyCompleted, b.Claim(ctx, newRequest("b", "k", 2)).Code)
	require.NoError(t, b.Close(ctx))
}

// TestHostResolvesLostAnswers guards against refusing a request whose claim was
// written: the platform's answer is lost after the write took effect, or the
// write itself is lost.
func TestHostResolvesLostAnswers(t *testing.T) {
	for name, takesEffect := range map[string]bool{"write took effect": true, "write lost": false} {
		t.Run(name, func(t *testing.T) {
			store := &memoryStore{objects: map[string]objectstore.Object{}}
			store.putFault = func(apply func()) error {
				if takesEffect {
					apply()
				}
				return objectstore.ErrUnknownOutcome
			}
			h := startHost(t, store, "a")
			require.Equal(t, result.OK, h.Claim(context.Background(), newRequest("a", "k", 1)).Code)
			require.Equal(t, result.KeyInProgress, h.Claim(context.Background(), newRequest("a", "k", 2)).Code)
			require.NoError(t, h.Close(context.Background()))
		})
	}
}

// TestHostRefusesWhilePlatformUnavailable guards against callers that wait for
// a timeout while the platform rejects every call.
func TestHostRefusesWhilePlatformUnavailable(t *testing.T) {
	store := &memoryStore{objects: map[string]objectstore.Object{}, unavailable: true}
	h := startHost(t, store, "a")
	for i := range uint64(3) {
		res := h.Claim(context.Background(), newRequest("a", "k", i))
		require.Equal(t, result.ClaimUnavailable, res.Code)
		require.Equal(t, result.RanNo, res.Ran)
	}
	require.NoError(t, h.Close(context.Background()))
}

// TestHostWithdrawsClaimWhenCallerLeaves guards against refusing a repeated
// request as "in progress" although the first one has ended. Its caller leaves
// while its claim is being written.
func TestHostWithdrawsClaimWhenCallerLeaves(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	answered := make(chan struct{})
	store := &memoryStore{objects: map[string]objectstore.Object{}}
	store.putFault = func(apply func()) error {
		apply()
		cancel()
		<-answered
		return objectstore.ErrUnknownOutcome
	}
	h := startHost(t, store, "a")
	require.Equal(t, result.ClaimUnavailable, h.Claim(ctx, newRequest("a", "k", 1)).Code)
	close(answered)
	require.Equal(t, result.OK, h.Claim(context.Background(), newRequest("a", "k", 2)).Code)
	require.NoError(t, h.Close(context.Background()))
}

// TestForeignObjectRefusesItsShard guards against a single unrelated object
// among the segments of a shard stopping all claims. Only the claims of its
// shard may be refused.
func TestForeignObjectRefusesItsShard(t *testing.T) {
	first, second := newRequest("a", "k", 1), newRequest("a", "k2", 2)
	shard := claims.ShardOf(first.Digest())
	require.NotEqual(t, shard, claims.ShardOf(second.Digest()))
	for _, name := range []string{"01", "x", "1/2"} {
		key := shardPrefix(shard) + name
		store := &memoryStore{objects: map[string]objectstore.Object{key: {Key: key, Version: 1}}, version: 1}
		h := startHost(t, store, "a")
		require.Equal(t, result.ClaimUnavailable, h.Claim(context.Background(), first).Code)
		require.Equal(t, result.OK, h.Claim(context.Background(), second).Code)
		require.NoError(t, h.Close(context.Background()))
	}
}

// TestHostFailsClosed guards against running a repeated request twice after the
// machine panicked in the middle of a step.
func TestHostFailsClosed(t *testing.T) {
	h := startHost(t, &memoryStore{objects: map[string]objectstore.Object{}}, "a")
	h.send(claims.ReadDone{Shard: claims.Shards})
	res := h.Claim(context.Background(), newRequest("a", "k", 1))
	require.Equal(t, result.ClaimUnavailable, res.Code)
	require.Equal(t, result.RanNo, res.Ran)
	require.NoError(t, h.Close(context.Background()))
}

func TestWriteOutcome(t *testing.T) {
	require.Equal(t, claims.WriteUnknown, writeOutcome(context.DeadlineExceeded))
	require.Equal(t, claims.WriteUnknown, writeOutcome(errors.New("reset")))
	require.Equal(t, claims.WriteUnavailable, writeOutcome(objectstore.ErrUnavailable))
	require.Equal(t, claims.WriteConflict, writeOutcome(&objectstore.ConflictError{}))
}

// TestMintedKeysNeedNoPlatform guards against refusing all keyed requests while
// a data centre is cut off from the platform. Keys that the router issued
// itself still run once, without any call to the platform.
func TestMintedKeysNeedNoPlatform(t *testing.T) {
	ctx := context.Background()
	h := startHost(t, &memoryStore{unavailable: true}, "a")
	ledger, err := NewLedger(h, "pudahuel")
	require.NoError(t, err)
	key, _, res := ledger.Issue("lan")
	require.Equal(t, result.OK, res.Code)
	first := newRequest("a", key, 1)
	require.Equal(t, result.OK, ledger.Claim(ctx, first).Code)
	ledger.Complete(first, result.RanYes)
	require.Equal(t, result.KeyCompleted, ledger.Claim(ctx, newRequest("a", key, 2)).Code)
	require.Equal(t, result.ClaimUnavailable, ledger.Claim(ctx, newRequest("a", "own", 3)).Code)
	ledger.StopIssuing()
	_, _, res = ledger.Issue("lan")
	require.Equal(t, result.Draining, res.Code)
	require.NoError(t, ledger.Close(ctx))
}
