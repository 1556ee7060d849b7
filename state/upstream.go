package state

import "time"

// LoadReport is the load that an upstream reports about itself. It arrives with
// a delay, so a reader has to add the requests that it has sent since.
type LoadReport struct {
	Upstream Upstream `json:"upstream"`
	// Boot identifies the run of the upstream. It changes whenever the
	// upstream's process restarts.
	Boot string `json:"boot"`
	// Running counts the requests in an engine's batch or on a worker's
	// threads.
	Running int `json:"running"`
	// Waiting counts the requests that the upstream has accepted but not
	// started.
	Waiting int `json:"waiting"`
	// Slots is the number of requests that the upstream can run at once.
	Slots int `json:"slots"`
	// Draining is set if the upstream accepts no new work.
	Draining bool `json:"draining"`
	// Models lists the loaded model versions; empty for a worker.
	Models []Model `json:"models,omitempty"`
}

// ReceivedReport is a LoadReport with the time at which the reader received it.
type ReceivedReport struct {
	LoadReport
	At time.Time
}
