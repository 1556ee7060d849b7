package metrics

import (
	"cmp"
	"slices"

	prom "github.com/prometheus/client_golang/prometheus"
	dto "github.com/prometheus/client_model/go"
)

// sortByLineCount orders what a gatherer returns by its number of series, counters
// and gauges before histograms: collectors that take only the beginning of a page
// miss buckets then, and not the router's state.
func sortByLineCount(inner prom.Gatherer) prom.Gatherer {
	return prom.GathererFunc(func() ([]*dto.MetricFamily, error) {
		families, err := inner.Gather()
		slices.SortStableFunc(families, func(a, b *dto.MetricFamily) int {
			return cmp.Compare(lineCount(a), lineCount(b))
		})
		return families, err
	})
}

// lineCount is the number of lines of a family's series.
func lineCount(f *dto.MetricFamily) int {
	n := 0
	for _, m := range f.GetMetric() {
		n += 1 + len(m.GetHistogram().GetBucket())
	}
	return n
}
