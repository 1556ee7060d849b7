package settings_test

import (
	"context"
	"errors"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/figstile/figstile/state/config"
	"github.com/figstile/figstile/state/result"
	"github.com/figstile/figstile/transport/objectstore"
	"github.com/figstile/figstile/transport/settings"
)

// An operator changes a weight; the platform writes it, but the answer is
// lost. The operator hears that it worked, and it was written once.
func TestLostAnswerOfAWriteThatTookEffect(t *testing.T) {
	f := newFleet(t)
	f.store.putFaults = []putFault{answerLost}
	version, err := f.write(t, "mine", 0, 2)
	require.NoError(t, err)
	require.Equal(t, uint64(2), version)
	require.Equal(t, 2, f.store.puts)
	require.Equal(t, uint64(2), f.source.Versions()[teamKey])
}

// The same, but the write itself was lost. It is sent again under the same
// condition and takes effect once.
func TestLostAnswerOfAWriteThatDidNot(t *testing.T) {
	f := newFleet(t)
	f.store.putFaults = []putFault{writeLost, writeLost, answerLost}
	version, err := f.write(t, "mine", 0, 2)
	require.NoError(t, err)
	require.Equal(t, uint64(2), version)
	require.Equal(t, objectstore.Version(2), f.store.version)
}

// A transport between sends the write twice, and the answer that arrives is
// that of the second copy: a conflict with the first. The operator must not
// hear that somebody else won.
func TestConflictWithOwnDuplicate(t *testing.T) {
	f := newFleet(t)
	f.store.putFaults = []putFault{duplicateConflict}
	version, err := f.write(t, "mine", 0, 2)
	require.NoError(t, err)
	require.Equal(t, uint64(2), version)
}

// The operator's connection ends at the moment the answer of the platform is
// lost. The outcome is still found out, for the log and for a repetition.
func TestLostAnswerAfterTheCallerLeft(t *testing.T) {
	f := newFleet(t)
	ctx, cancel := context.WithCancel(t.Context())
	f.store.putFaults = []putFault{answerLost}
	f.store.beforePut = cancel
	version, err := f.writer.Write(ctx, teamKey, subtree(t, "mine", 0, 2), 0)
	require.NoError(t, err)
	require.Equal(t, uint64(2), version)
}

// The answer is lost after the write took effect, and before it can be read
// back a second operator builds on it. The first must not be told that he
// lost, though the newest change is another's.
func TestLostAnswerUnderALaterChange(t *testing.T) {
	f := newFleet(t)
	mine := config.Subtree{Team: "turismo"}.WithChange(config.Change{ID: "mine"})
	f.store.putFaults = []putFault{writeLost}
	f.store.beforePut = func() {
		later := mine.WithChange(config.Change{ID: "later", Base: 2})
		f.store.version = 3
		f.store.objects[teamKey] = objectstore.Object{Key: teamKey, Version: 3, Value: encode(t, later)}
	}
	version, err := f.writer.Write(t.Context(), teamKey, encode(t, mine), 0)
	require.NoError(t, err)
	require.Equal(t, uint64(2), version)
	require.Equal(t, uint64(3), uint64(f.store.version))
}

// Two operators change one team from the same version. One wins; the other
// sees the winner's version and change, and nothing of hers was written.
func TestTwoOperatorsRace(t *testing.T) {
	f := newFleet(t)
	for _, lost := range [][]putFault{nil, {writeLost}} {
		f.store.objects[teamKey] = objectstore.Object{Key: teamKey, Version: 7, Value: subtree(t, "base", 0, 1)}
		f.store.version = 7
		f.store.putFaults = append([]putFault{0}, lost...)
		f.store.beforePut = func() {
			_, err := f.write(t, "winner", 7, 3)
			require.NoError(t, err)
		}
		_, err := f.write(t, "loser", 7, 4)
		var conflict *settings.ConflictError
		require.True(t, errors.As(err, &conflict), "%v", err)
		require.Equal(t, "winner", conflict.Winner.ID)
		require.Equal(t, "team/winner", conflict.Winner.By)
		require.Equal(t, uint64(8), conflict.Version)
		require.Equal(t, result.ConfigConflict, conflict.Result().Code)
		require.Equal(t, objectstore.Version(8), f.store.version)
	}
}

// The platform goes away, before a write and in the middle of one. In the
// first case the operator is told that nothing was changed; in the second
// that nobody can tell, and the change id to look for.
func TestPlatformUnavailable(t *testing.T) {
	f := newFleet(t)
	f.store.unavailable = true
	_, err := f.write(t, "early", 0, 2)
	var unavailable *settings.UnavailableError
	require.True(t, errors.As(err, &unavailable), "%v", err)
	require.Equal(t, result.RanNo, unavailable.Result().Ran)
	require.Equal(t, 1, f.store.puts)

	f.store.unavailable = false
	f.store.putFaults = []putFault{writeLost, writeLost, writeLost, writeLost, writeLost, writeLost}
	_, err = f.write(t, "late", 0, 2)
	var unknown *settings.UnknownOutcomeError
	require.True(t, errors.As(err, &unknown), "%v", err)
	require.Equal(t, "late", unknown.ChangeID)
	require.NotContains(t, f.source.Versions(), teamKey, "an unsettled write is not in force")

	// A second copy that is surely refused says nothing of the first.
	f.store.putFaults = []putFault{writeLost, writeUnavailable, writeUnavailable, writeUnavailable, writeUnavailable, writeUnavailable}
	_, err = f.write(t, "again", 0, 2)
	require.True(t, errors.As(err, &unknown), "%v", err)
}

// After a lost answer the platform answers from a lagging copy that shows the
// object before the expected version. That proves nothing, so the outcome
// stays open instead of being called a conflict.
func TestStaleReadBackSettlesNothing(t *testing.T) {
	f := newFleet(t)
	_, err := f.write(t, "base", 0, 1)
	require.NoError(t, err)
	f.store.putFaults = []putFault{answerLost}
	f.store.staleObject = &objectstore.Object{Key: teamKey, Version: 1, Value: subtree(t, "older", 0, 1)}
	_, err = f.write(t, "mine", 2, 2)
	var unknown *settings.UnknownOutcomeError
	require.True(t, errors.As(err, &unknown), "%v", err)

	// A conflict that was answered stands; the copy names no winner.
	_, err = f.write(t, "late", 2, 2)
	var conflict *settings.ConflictError
	require.True(t, errors.As(err, &conflict), "%v", err)
	require.Equal(t, uint64(3), conflict.Version)
	require.Empty(t, conflict.Winner)
}

// A team takes a name that another team's workspace has. Callers of the first
// would be served from the second's share, so the write is refused.
func TestInvalidWritesChangeNothing(t *testing.T) {
	f := newFleet(t)
	_, err := f.write(t, "mine", 0, 2)
	require.NoError(t, err)
	duplicate := config.Subtree{Team: "reservas", Workspaces: []config.Workspace{{Name: "guides", Weight: 1}}}
	for _, value := range [][]byte{
		encode(t, duplicate.WithChange(config.Change{ID: "theirs"})),
		encode(t, duplicate),
		[]byte(`{"team": "turismo"`),
	} {
		_, err = f.writer.Write(t.Context(), config.TeamKey("reservas"), value, 0)
		require.Error(t, err)
	}
	_, err = f.writer.Read(t.Context(), config.TeamKey("reservas"))
	var missing *settings.NotFoundError
	require.True(t, errors.As(err, &missing))
}
