package logging

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestOneLineOfPairsPerEvent(t *testing.T) {
	var out strings.Builder
	log := New(&out, "info")
	log.Info().Str("router", "r1").Str("detail", "two words\nand a line").Int("waiting", 3).Msg("peer lost")
	line := out.String()
	require.Equal(t, 1, strings.Count(line, "\n"), line)
	require.Contains(t, line, ` level=info event="peer lost" detail="two words\nand a line" router=r1 waiting=3`)
	require.True(t, strings.HasPrefix(line, "time="), line)
}

func TestNonStringValues(t *testing.T) {
	var out strings.Builder
	log := New(&out, "info")
	log.Info().Bool("dialled", true).Str("event", "session_opened").Send()
	require.Contains(t, out.String(), " level=info dialled=true event=session_opened\n")
}

func TestLevels(t *testing.T) {
	var out strings.Builder
	log := New(&out, "warn")
	log.Info().Msg("quiet")
	require.Empty(t, out.String())
}
