package loadgen

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/figstile/figstile/state"
	"github.com/figstile/figstile/state/config"
)

// Process tells how arrivals are spread over time.
type Process string

// The arrival processes.
const (
	// Poisson arrivals are independent of each other.
	Poisson Process = "poisson"
	// Bursts are groups of arrivals at one instant, at exponential intervals.
	Bursts Process = "bursts"
	// OnOff arrivals are Poisson for OnSeconds and absent for OffSeconds.
	OnOff Process = "onoff"
)

// Workload describes who sends what, and when.
type Workload struct {
	Name string `json:"name"`
	// Seed makes the arrivals and sizes repeatable.
	Seed       uint64      `json:"seed"`
	Seconds    float64     `json:"seconds"`
	Classes    []Class     `json:"classes"`
	Workspaces []Workspace `json:"workspaces"`
}

// Class is one kind of request.
type Class struct {
	Name    string             `json:"name"`
	Service state.Service      `json:"service"`
	Kind    config.ServiceKind `json:"kind"`
	// Path follows the service's name in the URL.
	Path   string `json:"path"`
	Stream bool   `json:"stream,omitempty"`
	// Prompt and Output are in tokens, for engines; Busy is in milliseconds,
	// for workers.
	Prompt Size `json:"prompt,omitzero"`
	Output Size `json:"output,omitzero"`
	Busy   Size `json:"busy,omitzero"`
	// Keyed is the part of requests with an idempotency key, Resent the part
	// of those that is sent again ResendAfterMS later, to another router.
	Keyed         float64 `json:"keyed,omitempty"`
	Resent        float64 `json:"resent,omitempty"`
	ResendAfterMS int64   `json:"resend_after_ms,omitempty"`
	// DeadlineMS is sent with the request; zero sends none.
	DeadlineMS int64 `json:"deadline_ms,omitempty"`
	// Abandoned is the part of callers who leave after AbandonAfterMS.
	Abandoned      float64 `json:"abandoned,omitempty"`
	AbandonAfterMS int64   `json:"abandon_after_ms,omitempty"`
}

// Size is a lognormal distribution, cut at Max.
type Size struct {
	Median float64 `json:"median"`
	Sigma  float64 `json:"sigma"`
	Max    float64 `json:"max"`
}

// Workspace is one tenant's load.
type Workspace struct {
	Name  state.Workspace `json:"name"`
	Token string          `json:"token"`
	// Share is the workspace's part of every service beside the others'
	// shares; they need not add up to 1.
	Share float64 `json:"share"`
	// Targets are the indexes of the routers it uses; none means all.
	Targets  []int     `json:"targets,omitempty"`
	Arrivals []Arrival `json:"arrivals"`
}

// Arrival is one stream of requests of a class.
type Arrival struct {
	Class   string  `json:"class"`
	Process Process `json:"process"`
	// Rate is the mean in requests a second; while on, for OnOff.
	Rate float64 `json:"rate"`
	// Burst is how many requests arrive at once.
	Burst      int     `json:"burst,omitempty"`
	OnSeconds  float64 `json:"on_seconds,omitempty"`
	OffSeconds float64 `json:"off_seconds,omitempty"`
}

// Parse reads a workload. Unknown fields, trailing data and every fault of the
// values are errors.
func Parse(data []byte) (Workload, error) {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	var w Workload
	if err := decoder.Decode(&w); err != nil {
		return Workload{}, fmt.Errorf("workload: %w", err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return Workload{}, errors.New("workload: data after the end")
	}
	return w, w.Check()
}

// Check returns all faults of the workload, or nil.
func (w Workload) Check() error {
	var faults faultList
	faults.require(w.Seconds > 0, "seconds must be greater than 0")
	faults.require(len(w.Workspaces) > 0, "there are no workspaces")
	names := make(map[string]bool)
	for i, c := range w.Classes {
		at := fmt.Sprintf("classes[%d]", i)
		faults.require(!names[c.Name], "%s: the name %q stands twice", at, c.Name)
		names[c.Name] = true
		faults.addClass(at, c)
	}
	known := make(map[state.Workspace]bool)
	for i, ws := range w.Workspaces {
		at := fmt.Sprintf("workspaces[%d]", i)
		faults.require(!known[ws.Name], "%s: the name %q stands twice", at, ws.Name)
		known[ws.Name] = true
		faults.addWorkspace(at, ws, names)
	}
	return errors.Join(faults...)
}

type faultList []error

func (f *faultList) require(ok bool, format string, args ...any) {
	if !ok {
		*f = append(*f, fmt.Errorf("workload: "+format, args...))
	}
}

func (f *faultList) addClass(at string, c Class) {
	f.require(c.Name != "" && c.Service != "", "%s: name and service are needed", at)
	f.require(len(c.Path) > 0 && c.Path[0] == '/', "%s: path must begin with /", at)
	for _, part := range []float64{c.Keyed, c.Resent, c.Abandoned} {
		f.require(part >= 0 && part <= 1, "%s: keyed, resent and abandoned must be from 0 to 1", at)
	}
	switch c.Kind {
	case config.KindEngine:
		f.addSize(at+".prompt", c.Prompt)
		f.addSize(at+".output", c.Output)
	case config.KindWorker:
		f.addSize(at+".busy", c.Busy)
	default:
		f.require(false, "%s: kind must be %q or %q", at, config.KindEngine, config.KindWorker)
	}
}

func (f *faultList) addSize(at string, s Size) {
	f.require(s.Median >= 1 && s.Sigma >= 0 && s.Max >= s.Median, "%s: median must be at least 1, sigma not negative and max at least the median", at)
}

func (f *faultList) addWorkspace(at string, ws Workspace, classes map[string]bool) {
	f.require(ws.Name != "", "%s: name is needed", at)
	f.require(ws.Share > 0, "%s: share must be greater than 0", at)
	for i, a := range ws.Arrivals {
		under := fmt.Sprintf("%s.arrivals[%d]", at, i)
		f.require(classes[a.Class], "%s: there is no class %q", under, a.Class)
		f.require(a.Rate > 0, "%s: rate must be greater than 0", under)
		switch a.Process {
		case Poisson:
		case Bursts:
			f.require(a.Burst > 0, "%s: burst must be greater than 0", under)
		case OnOff:
			f.require(a.OnSeconds > 0 && a.OffSeconds >= 0, "%s: on_seconds must be greater than 0", under)
		default:
			f.require(false, "%s: process must be %q, %q or %q", under, Poisson, Bursts, OnOff)
		}
	}
}

func (w Workload) length() time.Duration {
	return time.Duration(w.Seconds * float64(time.Second))
}

// shares returns each workspace's part of the whole, in the workload's order.
func (w Workload) shares() []float64 {
	sum := 0.0
	for _, ws := range w.Workspaces {
		sum += ws.Share
	}
	parts := make([]float64, len(w.Workspaces))
	for i, ws := range w.Workspaces {
		parts[i] = ws.Share / sum
	}
	return parts
}

// services lists the services of the classes in order of appearance.
func (w Workload) services() []state.Service {
	var names []state.Service
	seen := make(map[state.Service]bool)
	for _, c := range w.Classes {
		if !seen[c.Service] {
			names = append(names, c.Service)
			seen[c.Service] = true
		}
	}
	return names
}
