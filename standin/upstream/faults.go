package upstream

import "time"

// Faults is what an upstream does wrong. Counts run down as they are used.
type Faults struct {
	// CrashMarker takes the upstream down once a request with a body that
	// contains it starts to run; empty for never.
	CrashMarker string `json:"crash_marker,omitempty"`
	// StayDown keeps a crashed upstream down until it is restarted by hand.
	// Otherwise it comes back at once with a new Boot.
	StayDown bool `json:"stay_down,omitempty"`
	// TruncateAnswers cuts off this many of the next answers half way.
	TruncateAnswers int `json:"truncate,omitempty"`
	// CrossAnswers gives this many of the next callers the answer that belongs to
	// the request received before theirs.
	CrossAnswers int `json:"cross,omitempty"`
	// RejectRequests answers this many of the next requests with 503, unstarted.
	RejectRequests int `json:"refuse,omitempty"`
	// DelayFactor multiplies every delay; 0 means 1.
	DelayFactor float64 `json:"slow,omitempty"`
	// FreezeLoadReport repeats the last load report for ever.
	FreezeLoadReport bool `json:"freeze_load,omitempty"`
}

// scaleDelay applies Slow to a delay.
func (f Faults) scaleDelay(d time.Duration) time.Duration {
	if f.DelayFactor <= 0 {
		return d
	}
	return time.Duration(float64(d) * f.DelayFactor)
}
