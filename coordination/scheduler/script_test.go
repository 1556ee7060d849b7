package scheduler

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"

	"github.com/figstile/figstile/state"
	"github.com/figstile/figstile/state/config"
)

// script runs one scheduler, router a of data centre x, through the events in a
// file of testdata. Its peers are in data centre y, so that a owns the
// upstreams of x. The golden file with the same name contains every line
// followed by the resulting actions.
type script struct {
	s              *Scheduler
	now            time.Time
	grantSequences []uint64
	out            strings.Builder
}

func TestScripts(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, file := range files {
		name := strings.TrimSuffix(filepath.Base(file), ".txt")
		t.Run(name, func(t *testing.T) {
			text, err := os.ReadFile(file)
			require.NoError(t, err)
			s := script{now: time.Unix(1000, 0)}
			for line := range strings.Lines(string(text)) {
				s.line(t, strings.TrimSpace(line))
			}
			goldie.New(t).Assert(t, name, []byte(s.out.String()))
		})
	}
}

func (s *script) line(t *testing.T, line string) {
	fmt.Fprintln(&s.out, line)
	if line == "" || strings.HasPrefix(line, "#") {
		return
	}
	words := strings.Fields(line)
	switch words[0] {
	case "new":
		s.s = New(Options{ExchangeInterval: time.Second, Self: Peer{Router: "a", DataCentre: "x", Incarnation: 7}})
		s.grantSequences = nil
		s.step(PeersChanged{Peers: peers(words[1:])})
	case "pass":
		for end := s.now.Add(duration(t, words[1])); s.now.Before(end); {
			s.now = s.now.Add(TickInterval)
			s.step(Tick{}, words[2:]...)
		}
	case "pause":
		s.now = s.now.Add(duration(t, words[1]))
	case "status":
		st := s.s.Status(s.now)
		fmt.Fprintf(&s.out, "  %+v\n", st)
	default:
		s.step(s.event(t, words))
	}
}

// step processes an event and prints the actions. For ticks it omits the usage
// that each exchange repeats, unless show is given.
func (s *script) step(ev Event, show ...string) {
	for _, action := range s.s.Step(s.now, ev) {
		switch a := action.(type) {
		case SendUsage:
			if _, ticked := ev.(Tick); ticked && len(show) == 0 {
				continue
			}
		case SendGrant:
			s.grantSequences = append(s.grantSequences, a.Grant.Sequence)
		case Refuse:
			fmt.Fprintf(&s.out, "  refuse %d: %v; retry after %v\n", a.ID, a.Result, a.Result.RetryAfter)
			continue
		}
		text := fmt.Sprintf("%T%+v", action, action)
		for i, sequence := range s.grantSequences {
			text = strings.Replace(text, fmt.Sprint("Sequence:", sequence), fmt.Sprint("Sequence:#", i+1), 1)
		}
		fmt.Fprintln(&s.out, " ", strings.TrimPrefix(text, "scheduler."))
	}
}

func duration(t *testing.T, word string) time.Duration {
	d, err := time.ParseDuration(word)
	require.NoError(t, err)
	return d
}

func peers(names []string) []Peer {
	var list []Peer
	for _, name := range names {
		list = append(list, Peer{Router: state.Router(name), DataCentre: "y", Incarnation: 3})
	}
	return list
}

// number parses a number, or #n for the sequence number of the n-th grant sent
// to a peer.
func (s *script) number(t *testing.T, word string) uint64 {
	nth, isGrant := strings.CutPrefix(word, "#")
	n, err := strconv.ParseUint(nth, 10, 64)
	require.NoError(t, err)
	if isGrant {
		return s.grantSequences[n-1]
	}
	return n
}

var outcomes = map[string]Outcome{"served": OutcomeServed, "notsent": OutcomeNotSent, "lost": OutcomeLost, "truncated": OutcomeTruncated}

// event parses a line. Missing words are empty.
func (s *script) event(t *testing.T, words []string) Event {
	arg := func(i int) string { return append(words, make([]string, 8)...)[i] }
	num := func(i int) uint64 { return s.number(t, "0"+arg(i)) }
	peer := state.Router(arg(1))
	seq := func() uint64 { return s.number(t, arg(2)) }
	workspace := state.Workspace(arg(3))
	switch words[0] {
	case "peers":
		return PeersChanged{Peers: peers(words[1:])}
	case "service":
		return settings(words[1:])
	case "report":
		load := state.LoadReport{Upstream: state.Upstream(arg(1)), Boot: arg(2), Slots: int(num(3)), Running: int(num(4)), Draining: arg(5) != ""}
		return Reported{Report: load}
	case "unreachable":
		return Unreachable{Upstream: state.Upstream(arg(1))}
	case "leaving":
		return UpstreamLeaving{Upstream: state.Upstream(arg(1)), Boot: arg(2)}
	case "arrive":
		return Arrived{Request: Request{
			ID: state.RequestID(num(1)), Service: "draft", Workspace: state.Workspace(arg(2)),
			Bytes: int64(num(3)), Repeatable: arg(4) == "repeatable", Fingerprint: state.Fingerprint(num(1)),
		}}
	case "left":
		return Left{ID: state.RequestID(num(1))}
	case "progressed":
		return Progressed{ID: state.RequestID(num(1)), Cost: state.Cost(num(2))}
	case "end":
		return Ended{ID: state.RequestID(num(1)), Outcome: outcomes[arg(2)], Cost: state.Cost(num(3))}
	case "demand":
		entry := DemandEntry{Workspace: state.Workspace(arg(2)), Waiting: int(num(3)), HeadCost: 100}
		return DemandHeard{From: peer, Demand: Demand{Service: "draft", Entries: []DemandEntry{entry}}}
	case "grant":
		return GrantHeard{Grant: Grant{Owner: peer, Sequence: seq(), Service: "draft", Workspace: workspace, Upstream: state.Upstream(arg(4)), Lifetime: time.Second}}
	case "declined":
		return DeclineHeard{From: peer, Sequence: seq(), Service: "draft", Demand: DemandEntry{Workspace: workspace, Waiting: int(num(4))}}
	case "started":
		return ProgressHeard{From: peer, Sequence: seq(), Upstream: "u1", Service: "draft", Workspace: workspace, Started: true}
	case "ended":
		return EndedHeard{From: peer, Sequence: seq(), Upstream: "u1", Service: "draft", Workspace: workspace, Cost: state.Cost(num(4)), Outcome: OutcomeServed}
	case "crash":
		return CrashHeard{Fingerprint: state.Fingerprint(num(1)), Upstream: state.Upstream(arg(2)), Boot: arg(3)}
	case "drain":
		return Drain{}
	}
	t.Fatalf("unknown event %q", words[0])
	return nil
}

// settings parses upstreams in the form name=centre.
func settings(words []string) Configured {
	svc := config.Service{Name: "draft", Limits: config.Limits{QueueRequests: 3, QueueBytes: 100, DeadlineMillis: 10_000}}
	for _, word := range words {
		name, dc, _ := strings.Cut(word, "=")
		svc.Upstreams = append(svc.Upstreams, config.Upstream{Name: state.Upstream(name), DataCentre: state.DataCentre(dc)})
	}
	return Configured{Settings: config.Settings{
		Services:   []config.Service{svc},
		Workspaces: []config.WorkspaceSettings{{Name: "w", Share: 0.5}, {Name: "v", Share: 0.5}},
	}}
}

// actionsOf returns the actions of one type.
func actionsOf[T Action](actions []Action) []T {
	var out []T
	for _, a := range actions {
		if x, ok := a.(T); ok {
			out = append(out, x)
		}
	}
	return out
}
