package state

import "time"

// LoadReport is what an upstream says of itself. It arrives with a lag, so a
// reader adds what it has sent since.
type LoadReport struct {
	Upstream Upstream `json:"upstream"`
	// Boot changes whenever the upstream's process restarts.
	Boot string `json:"boot"`
	// Running counts requests in the batch or on a worker's threads.
	Running int `json:"running"`
	// Waiting counts requests admitted by the upstream that do not run yet.
	Waiting int `json:"waiting"`
	// Slots is how many requests the upstream can run at once.
	Slots int `json:"slots"`
	// Draining is set once the upstream wants no new work.
	Draining bool `json:"draining"`
	// Models lists the model versions held; empty for a worker.
	Models []Model `json:"models,omitempty"`
}

// ReceivedReport is a LoadReport with the reader's time of receipt.
type ReceivedReport struct {
	LoadReport
	At time.Time
}
