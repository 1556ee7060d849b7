// Package metrics provides the router's metrics: counters, gauges, and
// histograms per workspace and class. It uses tally and serves them to a
// Prometheus scraper.
package metrics
