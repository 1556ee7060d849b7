package logstory

import (
	"strconv"
	"strings"
	"time"
)

// Line is one log line.
type Line struct {
	// Time is the writer's time of day; zero if the line has none.
	Time time.Time
	// File names where the line was read.
	File string
	// Fields are its pairs.
	Fields map[string]string
}

// ParseLine reads key=value pairs. What stands before the first pair, as some
// collectors put it there, is skipped. It returns false for a line that
// was cut within a value or has no event.
func ParseLine(file, text string) (Line, bool) {
	line := Line{File: file, Fields: make(map[string]string)}
	rest := text
	for rest = skipToPair(rest); rest != ""; rest = skipToPair(rest) {
		key, after, _ := strings.Cut(rest, "=")
		value, remaining, ok := parseValue(after)
		if !ok {
			return Line{}, false
		}
		line.Fields[key] = value
		rest = remaining
	}
	if timestamp, err := time.Parse(time.RFC3339Nano, line.Fields["time"]); err == nil {
		line.Time = timestamp
	}
	return line, line.Fields["event"] != ""
}

// skipToPair drops words that are no pair.
func skipToPair(text string) string {
	text = strings.TrimLeft(text, " \t")
	for text != "" {
		word, rest, _ := strings.Cut(text, " ")
		if i := strings.IndexByte(word, '='); i > 0 {
			return text
		}
		text = strings.TrimLeft(rest, " \t")
	}
	return ""
}

// parseValue reads a bare or quoted value and returns what follows it. A quoted
// one without its end is no value: the line was cut.
func parseValue(text string) (value, rest string, ok bool) {
	if !strings.HasPrefix(text, `"`) {
		value, rest, _ = strings.Cut(text, " ")
		return value, rest, true
	}
	quoted, err := strconv.QuotedPrefix(text)
	if err != nil {
		return "", "", false
	}
	value, err = strconv.Unquote(quoted)
	return value, text[len(quoted):], err == nil
}
