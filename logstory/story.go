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

// maxLineBytes bounds a line; longer ones are counted as damaged.
const maxLineBytes = 1 << 20

// Timeline is what the logs say of one request.
type Timeline struct {
	ID string
	// Lines are those of the request, in order of time.
	Lines []Line
	// TotalLines counts all lines, Damaged those that could not be read.
	TotalLines, MalformedLines int
}

// Collect reads logs by name and returns the story of a request.
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

func (s *Timeline) readLog(name string, log io.Reader) error {
	scanner := bufio.NewScanner(log)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
	for scanner.Scan() {
		s.TotalLines++
		line, ok := ParseLine(name, scanner.Text())
		switch {
		case !ok:
			s.MalformedLines++
		case line.Fields["id"] == s.ID:
			s.Lines = append(s.Lines, line)
		}
	}
	return scanner.Err()
}

// Write prints the story: a line per event, then what decided the end.
func (s Timeline) Write(w io.Writer) error {
	var b strings.Builder
	for _, line := range s.Lines {
		fmt.Fprintf(&b, "%s  %s  %s\n", line.Time.Format("15:04:05.000"), line.File, describe(line))
	}
	fmt.Fprintf(&b, "%s\n", s.Explanation())
	if s.MalformedLines > 0 {
		fmt.Fprintf(&b, "%d of %d lines could not be read.\n", s.MalformedLines, s.TotalLines)
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

// Explanation says in a sentence or two what decided the request's end.
func (s Timeline) Explanation() string {
	i := slices.IndexFunc(s.Lines, func(l Line) bool { return l.Fields["event"] == "request" })
	if len(s.Lines) == 0 {
		return fmt.Sprintf("No line bears the id %q: the request reached none of these routers, or its lines were dropped.", s.ID)
	}
	if i < 0 {
		return "The request has no final line: its router stopped first, or still runs it."
	}
	fields := s.Lines[i].Fields
	explanation := explainResult(fields)
	if fields["abandoned"] == "true" {
		explanation += " Its caller had left by then."
	}
	if fields["ran"] == "unknown" {
		explanation += " Nobody can tell whether it ran."
	}
	return explanation
}

// explainResult explains a final line by the figures that decided.
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

// explainOverShare tells whether the wait decided, or that the workspace has so much that
// no engine is for it however idle.
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
