package slots

import (
	"bufio"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/figstile/figstile/state"
)

// TestScript runs testdata/script.txt, which tells an upstream's story.
func TestScript(t *testing.T) {
	file, err := os.Open("testdata/script.txt")
	require.NoError(t, err)
	defer file.Close()
	var tracker Tracker
	for lines := bufio.NewScanner(file); lines.Scan(); {
		if strings.HasPrefix(lines.Text(), "#") {
			continue
		}
		var at, free, ahead int
		var command, argument string
		_, err := fmt.Sscanf(lines.Text(), "%d %s %s -> %d %d", &at, &command, &argument, &free, &ahead)
		require.NoError(t, err, lines.Text())
		now := time.UnixMilli(int64(at))
		perform(t, &tracker, now, command, argument)
		require.Equal(t, []int{free, ahead}, []int{tracker.Free(now), tracker.FreeAhead(now)}, lines.Text())
	}
}

func perform(t *testing.T, tracker *Tracker, now time.Time, command, argument string) {
	var n, slots, load int
	_, _ = fmt.Sscanf(argument, "%d:%d:%d", &n, &slots, &load)
	switch command {
	case "report":
		tracker.Report(now, state.LoadReport{Boot: fmt.Sprint(n), Slots: slots, Running: load})
	case "granted":
		tracker.Granted()
	case "finished":
		tracker.Finished(now, time.Duration(n)*time.Millisecond)
	case "hold":
		tracker.hold = (time.Duration(n) * time.Millisecond).Seconds()
	case "disowned":
		tracker.Disowned()
	case "leave":
		tracker.Leave(now, fmt.Sprint(n))
	case "distrust":
		tracker.Distrust()
	case "wait":
	default:
		t.Fatalf("unknown command %q", command)
	}
}

// Two routers that both believe they own an upstream would each fill it.
func TestTwoOwnersBackOff(t *testing.T) {
	var owners [2]Tracker
	now := time.Unix(1000, 0)
	load := 0
	for range 100 {
		now = now.Add(2 * ReportLag)
		load = owners[0].Outstanding() + owners[1].Outstanding()
		for i := range owners {
			o := &owners[i]
			o.Report(now, state.LoadReport{Boot: "1", Slots: 8, Running: load})
			if o.Outstanding() > 0 {
				o.Released(now)
			}
			for o.Free(now) > 0 {
				o.Granted()
			}
		}
	}
	require.LessOrEqual(t, load, 10)
}
