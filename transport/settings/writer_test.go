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

// TestLostAnswerOfASuccessfulWrite loses the answer to a write that took
// effect. The operator must get a success, and the object must be written once.
func TestLostAnswerOfASuccessfulWrite(t *testing.T) {
	f := newFleet(t)
	f.store.putFaults = []putFault{answerLost}
	version, err := f.write(t, "mine", 0, 2)
	require.NoError(t, err)
	require.Equal(t, uint64(2), version)
	require.Equal(t, 2, f.store.puts)
	require.Equal(t, uint64(2), f.source.Versions()[teamKey])
}

// TestLostWriteIsSentAgain loses the write itself. It must be sent
// again under the same condition and take effect once.
func TestLostWriteIsSentAgain(t *testing.T) {
	f := newFleet(t)
	f.store.putFaults = []putFault{writeLost, writeLost, answerLost}
	version, err := f.write(t, "mine", 0, 2)
	require.NoError(t, err)
	require.Equal(t, uint64(2), version)
	require.Equal(t, objectstore.Version(2), f.store.version)
}

// TestConflictWithOwnDuplicate covers a transport that sends a write twice and
// returns the answer to the second copy, which conflicts with the first. The
// operator must not receive a conflict.
func TestConflictWithOwnDuplicate(t *testing.T) {
	f := newFleet(t)
	f.store.putFaults = []putFault{duplicateConflict}
	version, err := f.write(t, "mine", 0, 2)
	require.NoError(t, err)
	require.Equal(t, uint64(2), version)
}

// TestLostAnswerAfterTheCallerLeft ends the operator's connection when the
// platform's answer is lost. The outcome must still be determined, for the log
// and for a repeated request.
func TestLostAnswerAfterTheCallerLeft(t *testing.T) {
	f := newFleet(t)
	ctx, cancel := context.WithCancel(t.Context())
	f.store.putFaults = []putFault{answerLost}
	f.store.beforePut = cancel
	version, err := f.writer.Write(ctx, teamKey, subtree(t, "mine", 0, 2), 0)
	require.NoError(t, err)
	require.Equal(t, uint64(2), version)
}

// TestLostAnswerBeforeALaterChange loses the answer to a write that took effect,
// and another operator changes the object before it is read back. The first
// operator must get a success although the newest change is another one.
func TestLostAnswerBeforeALaterChange(t *testing.T) {
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

// TestTwoOperatorsRace has two operators change one team from the same version.
// One wins; the other receives the winner's version and change, and her own
// change is not written.
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

// TestPlatformUnavailable makes the platform unavailable before a write and
// during one. In the first case the error must state that nothing was changed;
// in the second that the outcome is unknown, with the change ID to look for.
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
	require.NotContains(t, f.source.Versions(), teamKey, "a write with an unknown outcome is not in force")

	// A second copy that is refused without effect proves nothing about the
	// first.
	f.store.putFaults = []putFault{writeLost, writeUnavailable, writeUnavailable, writeUnavailable, writeUnavailable, writeUnavailable}
	_, err = f.write(t, "again", 0, 2)
	require.True(t, errors.As(err, &unknown), "%v", err)
}

// TestStaleReadLeavesTheOutcomeUnknown loses an answer; the platform then returns a
// stale copy from before the expected version. That proves nothing, so the
// outcome must stay unknown and not be reported as a conflict.
func TestStaleReadLeavesTheOutcomeUnknown(t *testing.T) {
	f := newFleet(t)
	_, err := f.write(t, "base", 0, 1)
	require.NoError(t, err)
	f.store.putFaults = []putFault{answerLost}
	f.store.staleObject = &objectstore.Object{Key: teamKey, Version: 1, Value: subtree(t, "older", 0, 1)}
	_, err = f.write(t, "mine", 2, 2)
	var unknown *settings.UnknownOutcomeError
	require.True(t, errors.As(err, &unknown), "%v", err)

	// A conflict that was answered is reported; the stale copy shows no winner.
	_, err = f.write(t, "late", 2, 2)
	var conflict *settings.ConflictError
	require.True(t, errors.As(err, &conflict), "%v", err)
	require.Equal(t, uint64(3), conflict.Version)
	require.Empty(t, conflict.Winner)
}

// TestInvalidWritesChangeNothing covers a team that uses the name of another
// team's workspace. Its callers would be served from the other team's share, so
// the write must be refused.
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
