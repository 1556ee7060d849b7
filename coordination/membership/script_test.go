package membership

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/figstile/figstile/state"
)

var update = flag.Bool("update", false, "rewrite the expected actions in testdata")

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// TestScripts runs the scripts in testdata/*.txt. A line is a comment (#),
// "self" with this router's hello, or a time and an event; the indented lines
// below an event are the expected actions. "run D" sends ticks for the duration
// D and omits heartbeats without gossip from the output.
func TestScripts(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			want, err := os.ReadFile(file)
			require.NoError(t, err)
			got := runScript(t, string(want))
			if *update {
				require.NoError(t, os.WriteFile(file, []byte(got), 0o644))
				return
			}
			require.Equal(t, string(want), got)
		})
	}
}

func runScript(t *testing.T, script string) string {
	var out strings.Builder
	var machine *Machine
	for _, line := range strings.Split(strings.TrimSuffix(script, "\n"), "\n") {
		if strings.HasPrefix(line, "    ") {
			continue
		}
		fmt.Fprintln(&out, line)
		words := strings.Fields(line)
		switch {
		case len(words) == 0 || words[0] == "#":
		case words[0] == "self":
			machine = New(Config{Self: parseHello(t, words[1:]), Seed: 1})
		default:
			at, err := time.ParseDuration(words[0])
			require.NoError(t, err, line)
			runLine(t, &out, machine, at, words[1:])
		}
	}
	return out.String()
}

func runLine(t *testing.T, out *strings.Builder, m *Machine, at time.Duration, words []string) {
	if words[0] != "run" {
		for _, a := range m.Step(epoch.Add(at), parseEvent(t, words)) {
			fmt.Fprintf(out, "    %s\n", describe(a))
		}
		return
	}
	duration, err := time.ParseDuration(words[1])
	require.NoError(t, err)
	for elapsed := time.Duration(0); elapsed <= duration; elapsed += TickInterval {
		for _, a := range m.Step(epoch.Add(at+elapsed), Tick{}) {
			if heartbeat, ok := a.(SendHeartbeat); ok && heartbeat.Members == nil {
				continue
			}
			fmt.Fprintf(out, "    %s %s\n", at+elapsed, describe(a))
		}
	}
}

// parseHello parses "router/incarnation data-centre address [key=value]".
func parseHello(t *testing.T, words []string) Hello {
	name, number, _ := strings.Cut(words[0], "/")
	incarnation, err := strconv.ParseUint(number, 10, 64)
	require.NoError(t, err)
	hello := Hello{
		Fleet: "cantabria", Version: 1, Router: state.Router(name), Incarnation: state.Incarnation(incarnation),
		DataCentre: state.DataCentre(words[1]), Address: words[2],
	}
	for _, option := range words[3:] {
		key, value, _ := strings.Cut(option, "=")
		switch key {
		case "fleet":
			hello.Fleet = value
		case "version":
			hello.Version = 2
		case "draining":
			hello.Draining = true
		default:
			t.Fatalf("unknown option %q", option)
		}
	}
	return hello
}

func parseEvent(t *testing.T, words []string) Event {
	id := func() SessionID {
		n, err := strconv.ParseUint(words[1], 10, 64)
		require.NoError(t, err)
		return SessionID(n)
	}
	switch words[0] {
	case "seeded":
		return SeedsAdded{Addresses: words[1:]}
	case "greeted-by":
		return HelloReceived{Session: id(), Hello: parseHello(t, words[2:])}
	case "dialled":
		hello := parseHello(t, words[2:])
		return HelloReceived{Session: id(), DialledAddress: hello.Address, Hello: hello}
	case "dial-failed":
		return DialFailed{Address: words[1]}
	case "reached-itself":
		return DialFailed{Address: words[1], Refusal: RefusalSelf, Router: "castro-1", Incarnation: 5}
	case "closed":
		return SessionClosed{Session: id()}
	case "heard":
		return MessageReceived{Session: id()}
	case "heartbeat":
		heartbeat := HeartbeatReceived{Session: id()}
		for _, word := range words[2:] {
			if word == "draining" {
				heartbeat.Draining = true
				continue
			}
			router, address, _ := strings.Cut(word, "@")
			heartbeat.Members = append(heartbeat.Members, Member{Router: state.Router(router), Address: address, Incarnation: 1})
		}
		return heartbeat
	case "drain":
		return DrainingChanged{Draining: true}
	case "tick":
		return Tick{}
	default:
		t.Fatalf("unknown event %q", words[0])
		return nil
	}
}

func describe(a Action) string {
	switch a := a.(type) {
	case Dial:
		return "dial " + a.Address
	case AcceptSession:
		return fmt.Sprintf("accept %d", a.Session)
	case RefuseSession:
		return fmt.Sprintf("refuse %d %s", a.Session, a.Refusal)
	case CloseSession:
		return fmt.Sprintf("close %d %s", a.Session, a.Reason)
	case SendHeartbeat:
		text := fmt.Sprintf("heartbeat %d", a.Session)
		for _, m := range a.Members {
			text += " " + string(m.Router)
		}
		return text
	case PublishPeers:
		text := "publish"
		for _, p := range a.Peers {
			text += fmt.Sprintf(" %s/%d", p.Router, p.Incarnation)
			if p.Draining {
				text += "(draining)"
			}
		}
		return text
	case ProcessResumed:
		return "resumed after " + a.Gap.String()
	default:
		return fmt.Sprintf("%T", a)
	}
}
