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
	// Truncate cuts off this many of the next answers half way.
	Truncate int `json:"truncate,omitempty"`
	// Cross gives this many of the next callers the answer that belongs to
	// the request received before theirs.
	Cross int `json:"cross,omitempty"`
	// Refuse answers this many of the next requests with 503, unstarted.
	Refuse int `json:"refuse,omitempty"`
	// Slow multiplies every delay; 0 means 1.
	Slow float64 `json:"slow,omitempty"`
	// FreezeLoad repeats the last load report for ever.
	FreezeLoad bool `json:"freeze_load,omitempty"`
}

// stretch applies Slow to a delay.
func (f Faults) stretch(d time.Duration) time.Duration {
	if f.Slow <= 0 {
		return d
	}
	return time.Duration(float64(d) * f.Slow)
}
