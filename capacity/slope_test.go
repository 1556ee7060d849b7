package capacity

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// points returns the values of a cost function at the given sizes.
func points(f func(n float64) float64, sizes ...float64) []Point {
	list := make([]Point, len(sizes))
	for i, n := range sizes {
		list[i] = Point{Size: n, Value: f(n)}
	}
	return list
}

func TestFitFindsTheShape(t *testing.T) {
	for _, shape := range []Shape{Flat, Log, Linear, LogLinear, Quadratic} {
		t.Run(string(shape), func(t *testing.T) {
			cost := func(n float64) float64 { return 50 + 3*shape.factor(n) }
			slope := Slope{Points: points(cost, 10, 1000, 100_000)}.fit()
			require.Equal(t, shape, slope.Shape)
			require.InEpsilon(t, cost(5000), slope.CostAt(5000), 0.01)
		})
	}
}

// A shared machine makes single times a fifth slower. This must not turn a flat
// time into a curve, but growth of a count by the same amount must be detected.
func TestNoiseIsIgnoredInTimesOnly(t *testing.T) {
	noisy := []Point{{10, 100}, {100, 120}, {1000, 110}}
	require.Equal(t, Flat, Slope{MachineDependent: true, Points: noisy}.fit().Shape)
	require.NotEqual(t, Flat, Slope{Points: []Point{{10, 100}, {100, 110}, {1000, 120}}}.fit().Shape)
}

func TestFitIsNeverNegative(t *testing.T) {
	falling := Slope{Points: []Point{{10, 300}, {100, 200}, {1000, 100}}}.fit()
	require.GreaterOrEqual(t, falling.CostAt(1e9), 0.0)
	steep := Slope{Points: []Point{{10, 1}, {100, 90}, {1000, 1000}}}.fit()
	require.GreaterOrEqual(t, steep.CostAt(0), 0.0)
}

func TestMissingSlopeIsReportedByName(t *testing.T) {
	_, err := NewReport(CurrentFleet(), &Slopes{})
	var missing *MissingError
	require.ErrorAs(t, err, &missing)
	require.Equal(t, requiredSlopes[0], missing.Name)
}

func TestRequiredSlopesAreMeasured(t *testing.T) {
	slopes, err := Load()
	require.NoError(t, err)
	for _, name := range requiredSlopes {
		slope, err := slopes.Get(name)
		require.NoError(t, err)
		require.GreaterOrEqual(t, len(slope.Points), 3, name)
	}
}

// A fleet slightly smaller than the size at which a limit is exceeded must stay
// within it, and a slightly larger one must exceed it.
func TestLimitBreaksAtTheReportedSize(t *testing.T) {
	slopes, err := Load()
	require.NoError(t, err)
	c, err := newCalculator(TargetFleet(), slopes)
	require.NoError(t, err)
	for _, metric := range reportMetrics() {
		if metric.limit == nil || metric.routersAtLimit(c) == 0 {
			continue
		}
		t.Run(fmt.Sprint(metric.role, " ", metric.name), func(t *testing.T) {
			limitScale := metric.routersAtLimit(c) / c.Routers
			below, above := c.scaled(limitScale*0.99), c.scaled(limitScale*1.01)
			require.LessOrEqual(t, metric.value(below), metric.limit(below))
			require.Greater(t, metric.value(above), metric.limit(above))
		})
	}
}

func TestNumbersHaveThreeDigits(t *testing.T) {
	for want, v := range map[string]float64{"0": 0.0001, "0.012": 0.012, "1.23": 1.234, "730": 730, "6300": 6300, "80k": 80_000, "1.2M": 1.2e6, "39G": 39e9} {
		require.Equal(t, want, formatNumber(v))
	}
}
