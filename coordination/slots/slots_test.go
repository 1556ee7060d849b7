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

// TestScript runs testdata/script.txt, a sequence of events at one upstream
// with the expected numbers of free slots.
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
		runCommand(t, &tracker, now, command, argument)
		require.Equal(t, []int{free, ahead}, []int{tracker.FreeSlots(now), tracker.FreeSlotsWithLookAhead(now)}, lines.Text())
	}
}

func runCommand(t *testing.T, tracker *Tracker, now time.Time, command, argument string) {
	var n, slots, load int
	_, _ = fmt.Sscanf(argument, "%d:%d:%d", &n, &slots, &load)
	switch command {
	case "report":
		tracker.RecordReport(now, state.LoadReport{Boot: fmt.Sprint(n), Slots: slots, Running: load})
	case "granted":
		tracker.AddGrant()
	case "finished":
		tracker.FinishGrant(now, time.Duration(n)*time.Millisecond)
	case "hold":
		tracker.meanSlotSeconds = (time.Duration(n) * time.Millisecond).Seconds()
	case "disowned":
		tracker.DisownGrant()
	case "leave":
		tracker.AnnounceDeparture(now, fmt.Sprint(n))
	case "distrust":
		tracker.DistrustReport()
	case "wait":
	default:
		t.Fatalf("unknown command %q", command)
	}
}

// Guards against two routers that both act as the owner of an upstream and each
// fill all of its slots.
func TestTwoOwnersBackOff(t *testing.T) {
	var owners [2]Tracker
	now := time.Unix(1000, 0)
	load := 0
	for range 100 {
		now = now.Add(2 * MaxReportLag)
		load = owners[0].Outstanding() + owners[1].Outstanding()
		for i := range owners {
			o := &owners[i]
			o.RecordReport(now, state.LoadReport{Boot: "1", Slots: 8, Running: load})
			if o.Outstanding() > 0 {
				o.ReleaseGrant(now)
			}
			for o.FreeSlots(now) > 0 {
				o.AddGrant()
			}
		}
	}
	require.LessOrEqual(t, load, 10)
}
