// Package logging sets up the log format of both binaries: one line of
// key=value pairs per event.
package logging

import (
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/rs/zerolog"
)

// New returns a logger for a level name; an unknown name means info.
func New(w io.Writer, level string) zerolog.Logger {
	parsed, err := zerolog.ParseLevel(level)
	if err != nil || parsed == zerolog.NoLevel {
		parsed = zerolog.InfoLevel
	}
	return zerolog.New(writer(w)).Level(parsed).With().Timestamp().Logger()
}

// writer turns zerolog's events into key=value lines. The console writer's
// own layout has bare values for time, level and message.
func writer(w io.Writer) zerolog.ConsoleWriter {
	return zerolog.ConsoleWriter{
		Out:                 w,
		NoColor:             true,
		TimeFormat:          time.RFC3339Nano,
		FormatTimestamp:     pair(zerolog.TimestampFieldName),
		FormatLevel:         pair(zerolog.LevelFieldName),
		FormatMessage:       pair("event"),
		FormatFieldName:     func(i any) string { return fmt.Sprintf("%s=", i) },
		FormatFieldValue:    quote,
		FormatErrFieldName:  func(i any) string { return fmt.Sprintf("%s=", i) },
		FormatErrFieldValue: quote,
	}
}

// pair leaves out what an event lacks, such as a message.
func pair(key string) zerolog.Formatter {
	return func(i any) string {
		if i == nil {
			return ""
		}
		return key + "=" + quote(i)
	}
}

// quote puts quotes around values that would break a line into wrong pairs.
func quote(i any) string {
	text := fmt.Sprint(i)
	if raw, ok := i.([]byte); ok {
		text = string(raw)
	}
	if unquoted, err := strconv.Unquote(text); err == nil {
		text = unquoted
	}
	if text == "" || strings.ContainsAny(text, " =\"\n\t") {
		return strconv.Quote(text)
	}
	return text
}
