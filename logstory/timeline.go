package logstory

import (
	"bufio"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"

	"github.com/figstile/figstile/state/result"
)

// maxLineBytes limits the length of a line. Collect returns an error for a log
// with a longer line.
const maxLineBytes = 1 << 20

// Timeline holds the log lines of one request in order of time.
type Timeline struct {
	// ID is the id that the caller gave the request.
	ID string
	// Lines holds the lines with the request's id, sorted by time.
	Lines []Line
	// TotalLines is the number of lines in all logs. MalformedLines is the
	// number of them that could not be parsed.
	TotalLines, MalformedLines int
}

// Collect reads the logs, which are given by name, and returns the timeline of
// the request with the given id.
func Collect(id string, logs map[string]io.Reader) (Timeline, error) {
	timeline := Timeline{ID: id}
	names := make([]string, 0, len(logs))
	for name := range logs {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		if err := timeline.readLog(name, logs[name]); err != nil {
			return Timeline{}, fmt.Errorf("%s: %w", name, err)
		}
	}
	slices.SortStableFunc(timeline.Lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return timeline, nil
}

func (t *Timeline) readLog(name string, log io.Reader) error {
	scanner := bufio.NewScanner(log)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
	for scanner.Scan() {
		t.TotalLines++
		line, ok := ParseLine(name, scanner.Text())
		switch {
		case !ok:
			t.MalformedLines++
		case line.Fields["id"] == t.ID:
			t.Lines = append(t.Lines, line)
		}
	}
	return scanner.Err()
}

// Write prints the timeline: one line per event, then the explanation of the
// request's end and, if there are any, the number of malformed lines.
func (t Timeline) Write(w io.Writer) error {
	var b strings.Builder
	for _, line := range t.Lines {
		fmt.Fprintf(&b, "%s  %s  %s\n", line.Time.Format("15:04:05.000"), line.File, describe(line))
	}
	fmt.Fprintf(&b, "%s\n", t.Explanation())
	if t.MalformedLines > 0 {
		fmt.Fprintf(&b, "%d of %d lines could not be read.\n", t.MalformedLines, t.TotalLines)
	}
	_, err := io.WriteString(w, b.String())
	return err
}

func describe(line Line) string {
	fields := line.Fields
	switch fields["event"] {
	case "request":
		return fmt.Sprintf("ended with %s after %s ms, %s attempt(s), upstream %s", codeName(fields["code"]), fields["total_ms"], fields["attempts"], orNone(fields["upstream"]))
	case "attempt ended":
		return fmt.Sprintf("attempt %s at %s ended: %s", fields["attempt"], fields["upstream"], fields["cause"])
	default:
		return fields["event"]
	}
}

// Explanation explains in one or a few sentences why the request ended as it did.
func (t Timeline) Explanation() string {
	i := slices.IndexFunc(t.Lines, func(l Line) bool { return l.Fields["event"] == "request" })
	if len(t.Lines) == 0 {
		return fmt.Sprintf("No line bears the id %q: the request reached none of these routers, or its lines were dropped.", t.ID)
	}
	if i < 0 {
		return "The request has no final line: its router stopped first, or still runs it."
	}
	fields := t.Lines[i].Fields
	explanation := explainResult(fields)
	if fields["abandoned"] == "true" {
		explanation += " Its caller had left by then."
	}
	if fields["ran"] == "unknown" {
		explanation += " Nobody can tell whether it ran."
	}
	return explanation
}

// explainResult explains the result of a request from the fields of its final log
// line. These fields hold the values that the router's decision was based on.
func explainResult(fields map[string]string) string {
	code, _ := strconv.Atoi(fields["code"])
	switch result.Code(code) {
	case result.OK:
		return fmt.Sprintf("Served: first byte after %s ms; expected %s ms of waiting and %s ms of its own.", fields["first_ms"], fields["wait_ms"], fields["own_ms"])
	case result.Overloaded:
		return fmt.Sprintf("Refused: the best upstream %s would have begun after %s ms, and %s ms was the limit for an answer in time.", fields["upstream"], fields["wait_ms"], fields["limit_ms"])
	case result.OverShare:
		return explainOverShare(fields)
	default:
		return fmt.Sprintf("Ended with %s. %s %s", codeName(fields["code"]), result.Lookup(result.Code(code)).Meaning, fields["detail"])
	}
}

// explainOverShare explains a refusal because of the workspace's fair share. Either
// the expected wait was above the limit for this workspace, or the workspace used
// so much of its share that it is refused even if an engine is idle.
func explainOverShare(fields map[string]string) string {
	wait, _ := strconv.Atoi(fields["wait_ms"])
	limit, _ := strconv.Atoi(fields["limit_ms"])
	if wait <= limit {
		return fmt.Sprintf("Refused: workspace %s had %s of its fair share, and %s of it here, too much for an idle engine.", fields["workspace"], fields["share_used"], fields["share_here"])
	}
	return fmt.Sprintf("Refused: workspace %s had %s of its fair share, and the wait of %s ms was above its limit of %s ms.", fields["workspace"], fields["share_used"], fields["wait_ms"], fields["limit_ms"])
}

func codeName(code string) string {
	number, err := strconv.Atoi(code)
	if err != nil {
		return "an unknown code"
	}
	return fmt.Sprintf("%d %s", number, result.Lookup(result.Code(number)).Name)
}

func orNone(value string) string {
	if value == "" {
		return "none"
	}
	return value
}
