package upstream

import "time"

// Faults holds the failures that an upstream simulates. A count decreases each
// time that its fault is applied.
type Faults struct {
	// CrashMarker crashes the upstream when a request whose body contains it
	// starts to run. Empty disables it.
	CrashMarker string `json:"crash_marker,omitempty"`
	// StayDown keeps a crashed upstream down until Restart is called. Otherwise
	// it restarts at once with a new Boot.
	StayDown bool `json:"stay_down,omitempty"`
	// TruncateAnswers is the number of next answers that are cut off halfway.
	TruncateAnswers int `json:"truncate,omitempty"`
	// CrossAnswers is the number of next callers that receive the answer of the
	// request received before their own.
	CrossAnswers int `json:"cross,omitempty"`
	// RejectRequests is the number of next requests that are answered with
	// status 503 without being started.
	RejectRequests int `json:"refuse,omitempty"`
	// DelayFactor multiplies every delay; 0 means 1.
	DelayFactor float64 `json:"slow,omitempty"`
	// FreezeLoadReport makes the upstream return the same load report at every
	// read until the fault is switched off.
	FreezeLoadReport bool `json:"freeze_load,omitempty"`
}

// scaleDelay multiplies a delay by DelayFactor.
func (f Faults) scaleDelay(d time.Duration) time.Duration {
	if f.DelayFactor <= 0 {
		return d
	}
	return time.Duration(float64(d) * f.DelayFactor)
}
