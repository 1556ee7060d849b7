package logstory

import (
	"strconv"
	"strings"
	"time"
)

// Line is one parsed log line.
type Line struct {
	// Time is the time that the router wrote to the line. It is zero if the
	// line has no valid time.
	Time time.Time
	// File is the name of the log that contains the line.
	File string
	// Fields holds the values of the line's pairs by key.
	Fields map[string]string
}

// ParseLine parses a line of key=value pairs. It skips words that are not pairs,
// because some log collectors put a prefix before the first pair. It returns
// false for a line that ends within a quoted value or has no event.
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

// skipToPair removes leading words that are not key=value pairs. It returns an
// empty string if no pair follows.
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

// parseValue parses an unquoted or quoted value at the start of the text and
// returns the value and the text after it. It returns false for a quoted value
// without a closing quote, which means that the line was truncated.
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
