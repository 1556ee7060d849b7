// Package metrics is the router's measuring: counters, and histograms per
// workspace and class, gathered by tally and served to a Prometheus scraper.
package metrics
