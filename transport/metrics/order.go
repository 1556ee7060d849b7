package metrics

import (
	"cmp"
	"slices"

	prom "github.com/prometheus/client_golang/prometheus"
	dto "github.com/prometheus/client_model/go"
)

// sortByLineCount sorts the metric families of a gatherer by their number of
// lines, so that counters and gauges come before histograms. A collector that
// reads only the beginning of the answer then misses buckets, but not the state
// of the router.
func sortByLineCount(inner prom.Gatherer) prom.Gatherer {
	return prom.GathererFunc(func() ([]*dto.MetricFamily, error) {
		families, err := inner.Gather()
		slices.SortStableFunc(families, func(a, b *dto.MetricFamily) int {
			return cmp.Compare(lineCount(a), lineCount(b))
		})
		return families, err
	})
}

// lineCount returns the number of lines that a family takes in the text format.
func lineCount(f *dto.MetricFamily) int {
	n := 0
	for _, m := range f.GetMetric() {
		n += 1 + len(m.GetHistogram().GetBucket())
	}
	return n
}
