package admission

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/figstile/figstile/coordination/placement"
	"github.com/figstile/figstile/coordination/shares"
)

// Guards against engine time that is spent on prefilling parts again while
// requests are refused: prompts arrive at twice the engines' prefill rate, and
// the engines that have cached their parts are busy.
func TestSaturationRepeatsNoLongPrefill(t *testing.T) {
	rng := rand.New(rand.NewPCG(5, 1))
	load := longRequests(rng, 0, replayTime, 400, uniformWorkspace(rng))
	s := newSimulation(replayRouters, replayEngines, 5)
	results := s.run(load)
	repeats := 0
	for _, o := range results {
		if o.verdict.IsAdmitted() && o.verdict.Standing.ShareUse > throttleStartUse && o.verdict.Estimate.RepeatedPrefill > o.target/20 {
			repeats++
		}
	}
	use := usedPrefillFraction(results, 0, replayTime)
	t.Logf("%d prompts prefilled again, %.2f of the prefill rate used for their own parts", repeats, use)
	require.Zero(t, repeats)
	require.Greater(t, use, 0.75)
}

func TestRepeatedPrefillIsRefusedOnlyWhileShortOfCapacity(t *testing.T) {
	r := Request{Work: placement.Work{TargetLatency: time.Second}, Timeout: 10 * time.Second}
	repeats := placement.Estimate{RepeatedPrefill: 100 * time.Millisecond}
	for _, c := range []struct {
		name     string
		standing shares.Standing
		estimate placement.Estimate
		want     Reason
	}{
		{"capacity to spare", shares.Standing{}, repeats, Admitted},
		{"below half of the share", shares.Standing{ShareUse: 0.4}, repeats, Admitted},
		{"beyond half of the share", shares.Standing{ShareUse: 0.6}, repeats, Overload},
		{"short parts", shares.Standing{ShareUse: 0.6}, placement.Estimate{RepeatedPrefill: 20 * time.Millisecond}, Admitted},
	} {
		verdict := Decide(r, c.estimate, true, c.standing, 0)
		require.Equal(t, c.want, verdict.Reason, c.name)
		require.Equal(t, c.want != Admitted, verdict.RetryAfter > 0, c.name)
	}
	r.MayHaveRun = true
	require.True(t, Decide(r, repeats, true, shares.Standing{ShareUse: 0.6}, 0).IsAdmitted(), "a refusal would claim that it has not run")
}
