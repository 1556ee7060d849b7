package logging

import (
	"io"
	"testing"

	"github.com/rs/zerolog"
)

// BenchmarkLine writes a line of the length of a request's line.
func BenchmarkLine(b *testing.B) {
	for name, log := range map[string]zerolog.Logger{
		"pairs":   New(io.Discard, "info"),
		"console": zerolog.New(zerolog.ConsoleWriter{Out: io.Discard, NoColor: true}).With().Timestamp().Logger(),
	} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				log.Info().Str("id", "9c41d07be2a35f68").Str("workspace", "hule930").Str("route", "r-6q5rmmv").
					Str("service", "huvo11a").Str("upstream", "i-7f3a91c2").Int64("wait_ms", 12).Int64("own_ms", 90).
					Int64("limit_ms", 850).Float64("share_used", 0.4).Int("attempts", 1).Int("code", 0).
					Str("ran", "yes").Int64("first_ms", 80).Int64("total_ms", 900).Msg("request")
			}
		})
	}
}
