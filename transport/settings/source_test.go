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

// syncMissing sends to one Source all objects that it misses from another.
func syncMissing(t *testing.T, from, to *settings.Source) {
	t.Helper()
	for _, key := range to.MissingKeys(from.Versions()) {
		o, ok := from.Object(key)
		require.True(t, ok)
		require.NoError(t, to.ApplyFromPeer(o.Key, o.Version, o.Value))
	}
}

// TestColdStartFromPeers covers a restart of all VMs of a data centre while the
// platform is unavailable. A router in another data centre still has the tree.
// The starting router must get the whole tree from there and not be ready with
// a part of it: it would refuse callers whose workspaces are missing.
func TestColdStartFromPeers(t *testing.T) {
	f := newFleet(t)
	_, err := f.write(t, "base", 0, 1)
	require.NoError(t, err)

	var seen []*config.View
	starting := settings.NewSource(settings.SourceOptions{Log: zerolog.Nop(), OnChange: func(v *config.View) { seen = append(seen, v) }})
	missing := starting.MissingKeys(f.source.Versions())
	require.Equal(t, []string{config.RootKey, teamKey}, missing)
	o, _ := f.source.Object(config.RootKey)
	require.NoError(t, starting.ApplyFromPeer(o.Key, o.Version, o.Value))
	require.False(t, starting.Ready())
	require.Empty(t, starting.Versions(), "an incomplete tree is not announced")
	rootOnly := settings.NewSource(settings.SourceOptions{Log: zerolog.Nop()})
	require.NoError(t, rootOnly.ApplyFromPeer(o.Key, o.Version, o.Value))
	require.False(t, rootOnly.Ready(), "a root alone does not make the tree complete")

	syncMissing(t, f.source, starting)
	require.True(t, starting.Ready())
	require.Equal(t, f.source.Versions(), starting.Versions())
	require.Equal(t, []state.Workspace{"guides"}, workspaces(starting))
	require.Equal(t, []*config.View{starting.View()}, seen)
	require.Empty(t, starting.MissingKeys(f.source.Versions()))
}

// TestOldVersionsNeverReturn covers a router that was cut off and rejoins with
// an old copy of a team, while the platform also returns old copies. Neither
// may revert the weight that the fleet has accepted.
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

// scriptedStore answers watches with the objects that the test sends.
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

// startFollower runs a follower until the test ends. The returned channel
// delivers the duration of each sleep, and the sleep ends when the test
// receives it.
func startFollower(t *testing.T, store objectstore.Store, onChange func(*config.View)) (source *settings.Source, sleeps chan time.Duration) {
	t.Helper()
	source = settings.NewSource(settings.SourceOptions{Log: zerolog.Nop(), OnChange: onChange})
	sleeps = make(chan time.Duration)
	follower := settings.NewFollower(settings.FollowerOptions{
		Store: store, Source: source, Log: zerolog.Nop(),
		Sleep: func(ctx context.Context, d time.Duration) {
			select {
			case sleeps <- d:
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
	return source, sleeps
}

// awaitView ends sleeps until a view is in force.
func awaitView(sleeps chan time.Duration, changes chan *config.View) {
	for {
		select {
		case <-sleeps:
		case <-changes:
			return
		}
	}
}

// TestFollowThroughOutageAndLoss starts a router during an outage of the
// platform. Later a watch returns a team's object as missing, as after a loss
// of data, and then a damaged one. The team's workspaces must stay in force
// throughout.
func TestFollowThroughOutageAndLoss(t *testing.T) {
	f := newFleet(t)
	_, err := f.write(t, "base", 0, 1)
	require.NoError(t, err)
	f.store.unavailable = true
	store := &scriptedStore{fakeStore: f.store, watches: make(chan []objectstore.Object, 4)}
	changes := make(chan *config.View, 8)
	source, sleeps := startFollower(t, store, func(v *config.View) { changes <- v })
	<-sleeps
	require.False(t, source.Ready())
	f.store.mu.Lock()
	f.store.unavailable = false
	f.store.mu.Unlock()
	awaitView(sleeps, changes)

	store.watches <- []objectstore.Object{{Key: teamKey}}
	store.watches <- []objectstore.Object{{Key: teamKey, Version: 8}}
	store.watches <- nil // answers ErrTooOld, after which the follower lists again
	store.watches <- []objectstore.Object{{Key: teamKey, Version: 9, Value: subtree(t, "later", 2, 3)}}
	awaitView(sleeps, changes)
	require.Equal(t, uint64(9), source.Versions()[teamKey])
	require.Equal(t, []state.Workspace{"guides"}, workspaces(source))
	require.Empty(t, source.InvalidObjects())
}

// TestFirstRootReachesEveryRouter covers routers that start before the fleet
// has its first root, which is then written through one of them. The others
// must become ready through their watches.
func TestFirstRootReachesEveryRouter(t *testing.T) {
	store := &scriptedStore{fakeStore: newFakeStore(), watches: make(chan []objectstore.Object, 1)}
	changes := make(chan *config.View, 1)
	source, sleeps := startFollower(t, store, func(v *config.View) { changes <- v })
	<-sleeps
	require.False(t, source.Ready())
	store.watches <- []objectstore.Object{{Key: config.RootKey, Version: 1, Value: root(t, "first", 0)}}
	awaitView(sleeps, changes)
	require.True(t, source.Ready())
}

// TestValidVersionIsRequestedFromAPeer covers a router that starts when
// the newest version of a team on the platform is damaged. The platform offers
// no other, so the router must request the valid version before it from a peer.
func TestValidVersionIsRequestedFromAPeer(t *testing.T) {
	f := newFleet(t)
	_, err := f.write(t, "base", 0, 1)
	require.NoError(t, err)
	starting := settings.NewSource(settings.SourceOptions{Log: zerolog.Nop()})
	require.Error(t, starting.ApplyFromPeer(teamKey, 7, []byte("{")))
	syncMissing(t, f.source, starting)
	require.Equal(t, []state.Workspace{"guides"}, workspaces(starting))
	require.Equal(t, uint64(7), starting.InvalidObjects()[teamKey].Version)
}
