package settings_test

import (
	"context"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/figstile/figstile/state"
	"github.com/figstile/figstile/state/config"
	"github.com/figstile/figstile/transport/objectstore"
	"github.com/figstile/figstile/transport/settings"
)

// syncMissing hands a peer everything it misses of what from announces.
func syncMissing(t *testing.T, from, to *settings.Source) {
	t.Helper()
	for _, key := range to.MissingKeys(from.Versions()) {
		o, ok := from.Object(key)
		require.True(t, ok)
		require.NoError(t, to.ApplyFromPeer(o.Key, o.Version, o.Value))
	}
}

// All VMs of a data centre restart while the platform is away; one router of
// another data centre still holds the tree. The cold router takes it from
// there, and serves nobody on a part of it: it would refuse callers whose
// workspaces had not arrived yet.
func TestColdStartFromPeers(t *testing.T) {
	f := newFleet(t)
	_, err := f.write(t, "base", 0, 1)
	require.NoError(t, err)

	var seen []*config.View
	cold := settings.NewSource(settings.SourceOptions{Log: zerolog.Nop(), OnChange: func(v *config.View) { seen = append(seen, v) }})
	missing := cold.MissingKeys(f.source.Versions())
	require.Equal(t, []string{config.RootKey, teamKey}, missing)
	o, _ := f.source.Object(config.RootKey)
	require.NoError(t, cold.ApplyFromPeer(o.Key, o.Version, o.Value))
	require.False(t, cold.Ready())
	require.Empty(t, cold.Versions(), "a part is not announced")
	pushed := settings.NewSource(settings.SourceOptions{Log: zerolog.Nop()})
	require.NoError(t, pushed.ApplyFromPeer(o.Key, o.Version, o.Value))
	require.False(t, pushed.Ready(), "a root alone proves nothing")

	syncMissing(t, f.source, cold)
	require.True(t, cold.Ready())
	require.Equal(t, f.source.Versions(), cold.Versions())
	require.Equal(t, []state.Workspace{"guides"}, workspaces(cold))
	require.Equal(t, []*config.View{cold.View()}, seen)
	require.Empty(t, cold.MissingKeys(f.source.Versions()))
}

// A router that was cut off rejoins with an old copy of a team, and its
// platform reads come from a lagging copy as well. Neither may take back the
// weight that the fleet has accepted.
func TestOldVersionsNeverReturn(t *testing.T) {
	f := newFleet(t)
	_, err := f.write(t, "old", 0, 1)
	require.NoError(t, err)
	rejoined := settings.NewSource(settings.SourceOptions{Log: zerolog.Nop()})
	syncMissing(t, f.source, rejoined)
	_, err = f.write(t, "new", 2, 5)
	require.NoError(t, err)

	require.Empty(t, f.source.MissingKeys(rejoined.Versions()))
	old, _ := rejoined.Object(teamKey)
	require.NoError(t, f.source.ApplyFromPeer(old.Key, old.Version, old.Value))
	require.Equal(t, uint64(3), f.source.Versions()[teamKey])

	syncMissing(t, f.source, rejoined)
	require.Equal(t, uint64(3), rejoined.Versions()[teamKey])
}

// scriptedStore answers watches with what the test sends.
type scriptedStore struct {
	*fakeStore
	watches chan []objectstore.Object
}

func (s *scriptedStore) Watch(ctx context.Context, _ string, after objectstore.Version) ([]objectstore.Object, objectstore.Version, error) {
	select {
	case objects := <-s.watches:
		if objects == nil {
			return nil, 0, objectstore.ErrTooOld
		}
		return objects, after + 1, nil
	case <-ctx.Done():
		return nil, 0, ctx.Err()
	}
}

// startFollower runs a follower without pauses until the test ends. Each failed call
// is told on the channel it returns.
func startFollower(t *testing.T, store objectstore.Store, onChange func(*config.View)) (source *settings.Source, pauses chan time.Duration) {
	t.Helper()
	source = settings.NewSource(settings.SourceOptions{Log: zerolog.Nop(), OnChange: onChange})
	pauses = make(chan time.Duration)
	follower := settings.NewFollower(settings.FollowerOptions{
		Store: store, Source: source, Log: zerolog.Nop(),
		Sleep: func(ctx context.Context, d time.Duration) {
			select {
			case pauses <- d:
			case <-ctx.Done():
			}
		},
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		follower.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return source, pauses
}

// awaitView takes pauses until a view is in force.
func awaitView(pauses chan time.Duration, changes chan *config.View) {
	for {
		select {
		case <-pauses:
		case <-changes:
			return
		}
	}
}

// The platform is away when a router starts, and returns. Then a watch says
// that a team's object is gone, as an emptied store would, and a damaged one
// follows. The team's callers must not notice any of it.
func TestFollowThroughOutageAndLoss(t *testing.T) {
	f := newFleet(t)
	_, err := f.write(t, "base", 0, 1)
	require.NoError(t, err)
	f.store.unavailable = true
	store := &scriptedStore{fakeStore: f.store, watches: make(chan []objectstore.Object, 4)}
	changes := make(chan *config.View, 8)
	source, pauses := startFollower(t, store, func(v *config.View) { changes <- v })
	<-pauses
	require.False(t, source.Ready())
	f.store.mu.Lock()
	f.store.unavailable = false
	f.store.mu.Unlock()
	awaitView(pauses, changes)

	store.watches <- []objectstore.Object{{Key: teamKey}}
	store.watches <- []objectstore.Object{{Key: teamKey, Version: 8}}
	store.watches <- nil // too old: lists again
	store.watches <- []objectstore.Object{{Key: teamKey, Version: 9, Value: subtree(t, "later", 2, 3)}}
	awaitView(pauses, changes)
	require.Equal(t, uint64(9), source.Versions()[teamKey])
	require.Equal(t, []state.Workspace{"guides"}, workspaces(source))
	require.Empty(t, source.InvalidObjects())
}

// Routers start before the fleet has its first root, which is then written
// through one of them. The others must become ready by their watches.
func TestFirstRootReachesEveryRouter(t *testing.T) {
	store := &scriptedStore{fakeStore: newFakeStore(), watches: make(chan []objectstore.Object, 1)}
	changes := make(chan *config.View, 1)
	source, pauses := startFollower(t, store, func(v *config.View) { changes <- v })
	<-pauses
	require.False(t, source.Ready())
	store.watches <- []objectstore.Object{{Key: config.RootKey, Version: 1, Value: root(t, "first", 0)}}
	awaitView(pauses, changes)
	require.True(t, source.Ready())
}

// The newest version of a team on the platform is damaged, and a router that
// starts now can read nothing else there. A peer still holds the valid one
// before it, which must be asked for.
func TestPeerBringsTheVersionBeforeADamagedOne(t *testing.T) {
	f := newFleet(t)
	_, err := f.write(t, "base", 0, 1)
	require.NoError(t, err)
	cold := settings.NewSource(settings.SourceOptions{Log: zerolog.Nop()})
	require.Error(t, cold.ApplyFromPeer(teamKey, 7, []byte("{")))
	syncMissing(t, f.source, cold)
	require.Equal(t, []state.Workspace{"guides"}, workspaces(cold))
	require.Equal(t, uint64(7), cold.InvalidObjects()[teamKey].Version)
}
