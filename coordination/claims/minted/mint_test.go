package minted

import (
	"bytes"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/figstile/figstile/coordination/claims"
	"github.com/figstile/figstile/state"
	"github.com/figstile/figstile/state/result"
)

var epoch = time.Date(2026, 3, 2, 8, 0, 0, 0, time.UTC)

func newMint(t require.TestingT, router state.Router, incarnation state.Incarnation, secret byte) *Mint {
	m, err := New(Options{
		DataCentre: "pudahuel", Router: router, Incarnation: incarnation,
		Secret: bytes.Repeat([]byte{secret}, minSecretBytes),
	})
	require.NoError(t, err)
	return m
}

func requestWithKey(key Key, sequence uint64) claims.Request {
	return claims.Request{
		Workspace: "lan", Service: "bookings", Key: key.String(),
		Attempt: state.AttemptID{Router: "pudahuel-1", Incarnation: 1, Sequence: sequence},
	}
}

func TestKeyRunsOnce(t *testing.T) {
	m := newMint(t, "pudahuel-1", 1, 1)
	key, expiresAt, res := m.Issue(epoch, "lan")
	require.Equal(t, result.OK, res.Code)
	require.Equal(t, epoch.Add(Lifetime), expiresAt)
	first := requestWithKey(key, 1)
	require.Equal(t, result.OK, m.Claim(epoch, first).Code)
	require.Equal(t, result.KeyInProgress, m.Claim(epoch, requestWithKey(key, 2)).Code)
	m.Complete(first, result.RanNo)
	second := requestWithKey(key, 3)
	require.Equal(t, result.OK, m.Claim(epoch, second).Code)
	m.Complete(first, result.RanNo)
	require.Equal(t, result.KeyInProgress, m.Claim(epoch, requestWithKey(key, 4)).Code, "the release of an earlier claim changes nothing")
	m.Complete(second, result.RanYes)
	require.Equal(t, result.KeyCompleted, m.Claim(epoch.Add(2*Lifetime), requestWithKey(key, 5)).Code)
	require.Equal(t, result.KeyUnknown, m.Claim(epoch.Add(claims.Retention+time.Second), requestWithKey(key, 6)).Code)
}

// TestKeyOfAnotherMintIsNotRun checks that a request is refused by every router
// but the one that issued its key, since the others cannot know whether it ran.
// Here they are another router, a restarted one, a second process with the same
// identity, and one that has forgotten the key.
func TestKeyOfAnotherMintIsNotRun(t *testing.T) {
	key, _, _ := newMint(t, "pudahuel-1", 1, 1).Issue(epoch, "lan")
	others := map[string]*Mint{
		"another router":                          newMint(t, "pudahuel-2", 1, 1),
		"a later incarnation":                     newMint(t, "pudahuel-1", 2, 1),
		"a second process with the same identity": newMint(t, "pudahuel-1", 1, 2),
		"a mint without a record of the key":      newMint(t, "pudahuel-1", 1, 1),
	}
	for name, m := range others {
		res := m.Claim(epoch, requestWithKey(key, 1))
		require.Equal(t, result.KeyUnknown, res.Code, name)
		require.Equal(t, result.RanUnknown, res.Ran, name)
	}
	m := newMint(t, "pudahuel-1", 1, 1)
	key, _, _ = m.Issue(epoch, "another-workspace")
	require.Equal(t, result.KeyUnknown, m.Claim(epoch, requestWithKey(key, 1)).Code)
	malformed := requestWithKey(key, 1)
	malformed.Key = prefix + "a:b"
	require.Equal(t, result.BadRequest, m.Claim(epoch, malformed).Code)
}

// TestKeysAreBounded checks that a workspace that requests keys in a loop does
// not exhaust the memory of a router.
func TestKeysAreBounded(t *testing.T) {
	m := newMint(t, "pudahuel-1", 1, 1)
	for range MaxPerWorkspace {
		_, _, res := m.Issue(epoch, "flood")
		require.Equal(t, result.OK, res.Code)
	}
	_, _, res := m.Issue(epoch, "flood")
	require.Equal(t, result.TooManyRequests, res.Code)
	_, _, res = m.Issue(epoch, "lan")
	require.Equal(t, result.OK, res.Code)
	_, _, res = m.Issue(epoch.Add(Lifetime), "flood")
	require.Equal(t, result.OK, res.Code)
	require.Len(t, m.records, 1)
}

// TestKeysRunAtMostOnce presents keys in random order while time passes,
// records expire and requests end with random results.
func TestKeysRunAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMint(t, "pudahuel-1", 1, 1)
		now := epoch
		var keys []Key
		var running []claims.Request
		runs := map[string]int{}
		steps := rapid.IntRange(1, 60).Draw(t, "steps")
		for step := range uint64(steps) {
			now = now.Add(time.Duration(rapid.IntRange(0, 120).Draw(t, "minutes")) * time.Minute)
			switch rapid.IntRange(0, 2).Draw(t, "action") {
			case 0:
				key, _, _ := m.Issue(now, "lan")
				keys = append(keys, key)
			case 1:
				if len(keys) == 0 {
					continue
				}
				req := requestWithKey(rapid.SampledFrom(keys).Draw(t, "key"), step)
				if m.Claim(now, req).Code == result.OK {
					running = append(running, req)
				}
			default:
				if len(running) == 0 {
					continue
				}
				ran := rapid.SampledFrom([]result.Ran{result.RanNo, result.RanYes, result.RanUnknown}).Draw(t, "ran")
				if ran != result.RanNo {
					runs[running[0].Key]++
					require.LessOrEqual(t, runs[running[0].Key], 1)
				}
				m.Complete(running[0], ran)
				running = running[1:]
			}
		}
	})
}
