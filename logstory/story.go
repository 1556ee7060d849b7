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

// maxLine bounds a line; longer ones are counted as damaged.
const maxLine = 1 << 20

// Story is what the logs say of one request.
type Story struct {
	ID string
	// Lines are those of the request, in order of time.
	Lines []Line
	// Read counts all lines, Damaged those that could not be read.
	Read, Damaged int
}

// Collect reads logs by name and returns the story of a request.
func Collect(id string, logs map[string]io.Reader) (Story, error) {
	story := Story{ID: id}
	names := make([]string, 0, len(logs))
	for name := range logs {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		if err := story.read(name, logs[name]); err != nil {
			return Story{}, fmt.Errorf("%s: %w", name, err)
		}
	}
	slices.SortStableFunc(story.Lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return story, nil
}

func (s *Story) read(name string, log io.Reader) error {
	scanner := bufio.NewScanner(log)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLine)
	for scanner.Scan() {
		s.Read++
		line, ok := ParseLine(name, scanner.Text())
		switch {
		case !ok:
			s.Damaged++
		case line.Fields["id"] == s.ID:
			s.Lines = append(s.Lines, line)
		}
	}
	return scanner.Err()
}

// Write prints the story: a line per event, then what decided the end.
func (s Story) Write(w io.Writer) error {
	var b strings.Builder
	for _, line := range s.Lines {
		fmt.Fprintf(&b, "%s  %s  %s\n", line.Time.Format("15:04:05.000"), line.File, describe(line))
	}
	fmt.Fprintf(&b, "%s\n", s.Verdict())
	if s.Damaged > 0 {
		fmt.Fprintf(&b, "%d of %d lines could not be read.\n", s.Damaged, s.Read)
	}
	_, err := io.WriteString(w, b.String())
	return err
}

func describe(line Line) string {
	f := line.Fields
	switch f["event"] {
	case "request":
		return fmt.Sprintf("ended with %s after %s ms, %s attempt(s), upstream %s", named(f["code"]), f["total_ms"], f["attempts"], orNone(f["upstream"]))
	case "attempt ended":
		return fmt.Sprintf("attempt %s at %s ended: %s", f["attempt"], f["upstream"], f["cause"])
	default:
		return f["event"]
	}
}

// Verdict says in a sentence or two what decided the request's end.
func (s Story) Verdict() string {
	i := slices.IndexFunc(s.Lines, func(l Line) bool { return l.Fields["event"] == "request" })
	if len(s.Lines) == 0 {
		return fmt.Sprintf("No line bears the id %q: the request reached none of these routers, or its lines were dropped.", s.ID)
	}
	if i < 0 {
		return "The request has no final line: its router stopped first, or still runs it."
	}
	f := s.Lines[i].Fields
	verdict := reason(f)
	if f["abandoned"] == "true" {
		verdict += " Its caller had left by then."
	}
	if f["ran"] == "unknown" {
		verdict += " Nobody can tell whether it ran."
	}
	return verdict
}

// reason explains a final line by the figures that decided.
func reason(f map[string]string) string {
	code, _ := strconv.Atoi(f["code"])
	switch result.Code(code) {
	case result.OK:
		return fmt.Sprintf("Served: first byte after %s ms; expected %s ms of waiting and %s ms of its own.", f["first_ms"], f["wait_ms"], f["own_ms"])
	case result.Overloaded:
		return fmt.Sprintf("Refused: the best upstream %s would have begun after %s ms, and %s ms was the limit for an answer in time.", f["upstream"], f["wait_ms"], f["limit_ms"])
	case result.OverShare:
		return overShare(f)
	default:
		return fmt.Sprintf("Ended with %s. %s %s", named(f["code"]), result.Lookup(result.Code(code)).Meaning, f["detail"])
	}
}

// overShare tells whether the wait decided, or that the workspace has so much that
// no engine is for it however idle.
func overShare(f map[string]string) string {
	wait, _ := strconv.Atoi(f["wait_ms"])
	limit, _ := strconv.Atoi(f["limit_ms"])
	if wait <= limit {
		return fmt.Sprintf("Refused: workspace %s had %s of its fair share, and %s of it here, too much for an idle engine.", f["workspace"], f["share_used"], f["share_here"])
	}
	return fmt.Sprintf("Refused: workspace %s had %s of its fair share, and the wait of %s ms was above its limit of %s ms.", f["workspace"], f["share_used"], f["wait_ms"], f["limit_ms"])
}

func named(code string) string {
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
