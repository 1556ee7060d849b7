package devfleet

import (
	"bytes"
	"context"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/figstile/figstile/loadgen"
	"github.com/figstile/figstile/state"
)

// waitTimeout ends a start that never succeeds; no result depends on its value.
const waitTimeout = time.Minute

func TestUnknownSample(t *testing.T) {
	_, err := SampleByName("santander")
	require.ErrorContains(t, err, "cantabria aravena")
}

func TestEveryLoadIsValid(t *testing.T) {
	for _, sample := range samples() {
		for _, load := range Loads() {
			require.NoError(t, sample.Workload(time.Second, load).Validate())
		}
	}
}

// Sends one second of load through a whole fleet. The checks don't depend on
// speed: callers receive their own answers, and requests with a key run once.
func TestFleetServes(t *testing.T) {
	sample, err := SampleByName("aravena")
	require.NoError(t, err)
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	defer cancel()
	fleet, err := Start(ctx, Options{Sample: sample, Log: zerolog.Nop(), TokenDelay: time.Millisecond})
	require.NoError(t, err)
	defer fleet.Stop()

	res, err := loadgen.Run(ctx, loadgen.Options{Workload: sample.Workload(time.Second, LoadUsual), Fleet: fleet.Describe()})
	require.NoError(t, err)
	evidence := Evidence{
		Records:    res.Records,
		Ledgers:    fleet.Entries(),
		ServiceOf:  fleet.services,
		Repeatable: map[state.Service]bool{sample.Engines: true},
	}
	for _, v := range []Verdict{evidence.checkOwnAnswers(), evidence.checkCallersAnswered(), evidence.checkKeyedOnce(), evidence.checkUnkeyedOnce()} {
		require.True(t, v.Held, "%s: %s", v.Promise, v.Checked)
	}
	require.Len(t, res.Records, res.ScheduledRequests)

	var text, svg bytes.Buffer
	require.NoError(t, fleet.WriteAddresses(&text))
	require.Contains(t, text.String(), "curl")
	require.NoError(t, res.WriteSVG(&svg))
	require.Contains(t, svg.String(), "</svg>")
}
