package wire

import (
	"bufio"
	"bytes"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/encoding/protodelim"

	"github.com/figstile/figstile/coordination/scheduler"
	"github.com/figstile/figstile/protocol/peerpb"
)

const sender = "castro-1"

var crashLoss = scheduler.LossAge{Started: 4 * time.Second, Lost: 30 * time.Millisecond}

var entry = scheduler.DemandEntry{Workspace: "guias", Model: "borrador-3", Waiting: 4, HeadAge: 1200 * time.Millisecond, HeadCost: 900}

// mixedDemand and usageEntries contain names that are repeated and names that
// change between entries, in all combinations.
var (
	mixedDemand = scheduler.Demand{Service: "s", Entries: []scheduler.DemandEntry{
		{Workspace: "a"}, {Workspace: "a", Model: "m"}, {Workspace: "b", Model: "m"}, {Workspace: "c"}, {Workspace: "d"}, {Workspace: "d", Model: "n"},
	}}
	usageEntries = []scheduler.UsageEntry{
		{Service: "s", Workspace: "a"}, {Service: "s", Workspace: "b"}, {Service: "t", Workspace: "a", Virtual: -7}, {Service: "s", Workspace: "c"},
	}
)

// actionEvents lists every action that leaves a router, with the event that
// arrives at the peer.
var actionEvents = []struct {
	action scheduler.Action
	event  scheduler.Event
}{
	{
		scheduler.SendDemand{To: "r2", Demand: scheduler.Demand{Service: "drafts", Entries: []scheduler.DemandEntry{entry}, Full: true}},
		scheduler.DemandHeard{From: sender, Demand: scheduler.Demand{Service: "drafts", Entries: []scheduler.DemandEntry{entry}, Full: true}},
	},
	{
		scheduler.SendGrant{To: "r2", Grant: scheduler.Grant{Owner: sender, Sequence: 7, Service: "drafts", Workspace: "guias", Model: "m", Upstream: "u1", Lifetime: time.Second, Reserved: 5}},
		scheduler.GrantHeard{Grant: scheduler.Grant{Owner: sender, Sequence: 7, Service: "drafts", Workspace: "guias", Model: "m", Upstream: "u1", Lifetime: time.Second, Reserved: 5}},
	},
	{
		scheduler.SendDecline{To: "r2", Sequence: 7, Service: "drafts", Demand: entry},
		scheduler.DeclineHeard{From: sender, Sequence: 7, Service: "drafts", Demand: entry},
	},
	{
		scheduler.SendProgress{To: "r2", Sequence: 7, Upstream: "u1", Service: "drafts", Workspace: "guias", Cost: 3, Started: true},
		scheduler.ProgressHeard{From: sender, Sequence: 7, Upstream: "u1", Service: "drafts", Workspace: "guias", Cost: 3, Started: true},
	},
	{
		scheduler.SendEnded{To: "r2", Sequence: 7, Upstream: "u1", Service: "drafts", Workspace: "guias", Cost: 3, Outcome: scheduler.OutcomeLost},
		scheduler.EndedHeard{From: sender, Sequence: 7, Upstream: "u1", Service: "drafts", Workspace: "guias", Cost: 3, Outcome: scheduler.OutcomeLost},
	},
	{
		scheduler.SendUsage{Entries: []scheduler.UsageEntry{{Service: "drafts", Workspace: "guias", Charged: 9, Reserved: 2, Lift: 1}}, Full: true},
		scheduler.UsageHeard{Origin: sender, Incarnation: 41, Entries: []scheduler.UsageEntry{{Service: "drafts", Workspace: "guias", Charged: 9, Reserved: 2, Lift: 1}}, Full: true},
	},
	{
		scheduler.SendDemand{Demand: mixedDemand},
		scheduler.DemandHeard{From: sender, Demand: mixedDemand},
	},
	{
		scheduler.SendUsage{Entries: usageEntries},
		scheduler.UsageHeard{Origin: sender, Incarnation: 41, Entries: usageEntries},
	},
	{
		scheduler.SendUsage{Origin: "r9", Incarnation: 3},
		scheduler.UsageHeard{Origin: "r9", Incarnation: 3},
	},
	{
		scheduler.SendCrash{Fingerprint: 1 << 63, Upstream: "u1", Boot: "b", Loss: crashLoss},
		scheduler.CrashHeard{Fingerprint: 1 << 63, Upstream: "u1", Boot: "b", Loss: crashLoss},
	},
	{
		scheduler.SendLeaving{Upstream: "u1", Boot: "b"},
		scheduler.UpstreamLeaving{Upstream: "u1", Boot: "b"},
	},
}

func TestActionsArriveAsEvents(t *testing.T) {
	for _, p := range actionEvents {
		env, _, ok := ToEnvelope(p.action)
		require.True(t, ok, "%T", p.action)
		frame, err := AppendFrame(nil, env)
		require.NoError(t, err)
		readEnv, err := NewFrameReader(bufio.NewReader(bytes.NewReader(frame)), MaxControlFrameBytes).Next()
		require.NoError(t, err)
		event, err := ToEvent(sender, 41, readEnv)
		require.NoError(t, err)
		require.Equal(t, p.event, event)
	}
	for _, localAction := range []scheduler.Action{scheduler.Dispatch{}, scheduler.Refuse{}, scheduler.Owned{}, scheduler.Drained{}} {
		_, _, ok := ToEnvelope(localAction)
		require.False(t, ok, "%T must not be sent to peers", localAction)
	}
}

// A field that is added to a message but not to its conversion would arrive as
// zero, which only the fairness metrics would show.
func TestEveryFieldIsConverted(t *testing.T) {
	for _, p := range actionEvents {
		filled := reflect.New(reflect.TypeOf(p.action)).Elem()
		fill(filled)
		env, _, _ := ToEnvelope(filled.Interface().(scheduler.Action))
		event, err := ToEvent(sender, 1, env)
		require.NoError(t, err)
		requireFilled(t, reflect.TypeOf(event).Name(), reflect.ValueOf(event))
	}
}

func fill(v reflect.Value) {
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			fill(v.Field(i))
		}
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 1, 1))
		fill(v.Index(0))
	case reflect.String:
		v.SetString("x")
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Int64, reflect.Int:
		v.SetInt(int64(time.Second))
	default:
		v.SetUint(1)
	}
}

func requireFilled(t *testing.T, name string, v reflect.Value) {
	require.False(t, v.IsZero(), name)
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			requireFilled(t, name+"."+v.Type().Field(i).Name, v.Field(i))
		}
	case reflect.Slice:
		requireFilled(t, name, v.Index(0))
	}
}

func TestShortGrantDoesNotArriveExpired(t *testing.T) {
	env, _, _ := ToEnvelope(scheduler.SendGrant{Grant: scheduler.Grant{Lifetime: time.Microsecond}})
	require.EqualValues(t, 1, env.GetGrant().GetExpiresInMs())
}

func TestBounds(t *testing.T) {
	longName := strings.Repeat("x", MaxNameBytes+1)
	manyEntries := make([]*peerpb.UsageEntry, MaxEntries+1)
	for _, c := range []struct {
		code Code
		env  *peerpb.Envelope
	}{
		{CodeEmpty, nil},
		{CodeEmpty, &peerpb.Envelope{}},
		{CodeNotForScheduler, &peerpb.Envelope{Body: &peerpb.Envelope_Hello{}}},
		{CodeMissing, &peerpb.Envelope{Body: &peerpb.Envelope_Grant{Grant: &peerpb.Grant{}}}},
		{CodeMissing, &peerpb.Envelope{Body: &peerpb.Envelope_Decline{Decline: &peerpb.Decline{Service: "s"}}}},
		{CodeTooLong, &peerpb.Envelope{Body: &peerpb.Envelope_Leaving{Leaving: &peerpb.Leaving{Upstream: longName}}}},
		{CodeTooMany, &peerpb.Envelope{Body: &peerpb.Envelope_Usage{Usage: &peerpb.Usage{Entries: manyEntries}}}},
		{CodeNegative, &peerpb.Envelope{Body: &peerpb.Envelope_Progress{Progress: &peerpb.Progress{Upstream: "u", Service: "s", Workspace: "w", Cost: -1}}}},
		{CodeOutOfRange, &peerpb.Envelope{Body: &peerpb.Envelope_Ended{Ended: &peerpb.Ended{Upstream: "u", Service: "s", Workspace: "w", Outcome: 99}}}},
	} {
		_, err := ToEvent(sender, 1, c.env)
		require.ErrorIs(t, err, &Error{Code: c.code})
	}
}

func TestOversizedFrameIsRejected(t *testing.T) {
	env := &peerpb.Envelope{Body: &peerpb.Envelope_ConfigObject{ConfigObject: &peerpb.ConfigObject{Value: make([]byte, MaxControlFrameBytes)}}}
	frame, err := AppendFrame(nil, env)
	require.NoError(t, err)
	_, err = NewFrameReader(bufio.NewReader(bytes.NewReader(frame)), MaxControlFrameBytes).Next()
	var sizeErr *protodelim.SizeTooLargeError
	require.ErrorAs(t, err, &sizeErr)
}

// FuzzFrames passes arbitrary data of a faulty or foreign sender to a reader.
// Each frame must lead to an event or an error, never to a panic.
func FuzzFrames(f *testing.F) {
	for _, p := range actionEvents {
		env, _, _ := ToEnvelope(p.action)
		frame, _ := AppendFrame(nil, env)
		f.Add(frame)
	}
	f.Add([]byte("GET / HTTP/1.1\r\n\r\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		in := NewFrameReader(bufio.NewReader(bytes.NewReader(data)), MaxControlFrameBytes)
		for {
			env, err := in.Next()
			if err != nil {
				return
			}
			event, err := ToEvent(sender, 1, env)
			require.True(t, (event == nil) == (err != nil))
		}
	})
}
