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

// ArrivalProcess selects the distribution of arrivals over time.
type ArrivalProcess string

// Poisson, Bursts and OnOff are the supported arrival processes.
const (
	// Poisson arrivals are independent of each other.
	Poisson ArrivalProcess = "poisson"
	// Bursts are groups of simultaneous arrivals. The intervals between groups
	// are exponentially distributed.
	Bursts ArrivalProcess = "bursts"
	// OnOff arrivals alternate between OnSeconds of Poisson arrivals and
	// OffSeconds without arrivals.
	OnOff ArrivalProcess = "onoff"
)

// Workload describes the requests of a run: their senders, kinds, sizes and
// times.
type Workload struct {
	Name string `json:"name"`
	// Seed initialises the random generators of arrivals and sizes, so that a
	// run can be repeated.
	Seed       uint64      `json:"seed"`
	Seconds    float64     `json:"seconds"`
	Classes    []Class     `json:"classes"`
	Workspaces []Workspace `json:"workspaces"`
}

// Class describes one kind of request.
type Class struct {
	Name    string             `json:"name"`
	Service state.Service      `json:"service"`
	Kind    config.ServiceKind `json:"kind"`
	// Path is the URL path after the name of the service.
	Path   string `json:"path"`
	Stream bool   `json:"stream,omitempty"`
	// PromptTokens and OutputTokens are the prompt and output sizes of requests
	// to engines. BusyMS is the processing time of requests to workers in
	// milliseconds.
	PromptTokens SizeDistribution `json:"prompt,omitzero"`
	OutputTokens SizeDistribution `json:"output,omitzero"`
	BusyMS       SizeDistribution `json:"busy,omitzero"`
	// KeyedFraction is the fraction of requests that have an idempotency key.
	// ResentFraction is the fraction of those that are sent again after
	// ResendAfterMS, to the next router.
	KeyedFraction  float64 `json:"keyed,omitempty"`
	ResentFraction float64 `json:"resent,omitempty"`
	ResendAfterMS  int64   `json:"resend_after_ms,omitempty"`
	// DeadlineMS is the deadline in milliseconds that is sent with the request.
	// Zero sends none.
	DeadlineMS int64 `json:"deadline_ms,omitempty"`
	// AbandonedFraction is the fraction of requests that the caller cancels
	// after AbandonAfterMS.
	AbandonedFraction float64 `json:"abandoned,omitempty"`
	AbandonAfterMS    int64   `json:"abandon_after_ms,omitempty"`
}

// SizeDistribution is a lognormal distribution in which values above Max are
// replaced by Max.
type SizeDistribution struct {
	Median float64 `json:"median"`
	Sigma  float64 `json:"sigma"`
	Max    float64 `json:"max"`
}

// Workspace describes the load of one workspace.
type Workspace struct {
	Name  state.Workspace `json:"name"`
	Token string          `json:"token"`
	// Share is the weight of the workspace in every service, relative to the
	// other workspaces. The weights need not add up to 1.
	Share float64 `json:"share"`
	// RouterIndexes are the indexes of the routers that the workspace sends to.
	// An empty list means all.
	RouterIndexes []int           `json:"targets,omitempty"`
	Arrivals      []ArrivalStream `json:"arrivals"`
}

// ArrivalStream describes one stream of requests of a class.
type ArrivalStream struct {
	Class   string         `json:"class"`
	Process ArrivalProcess `json:"process"`
	// Rate is the mean number of requests per second. For OnOff, it applies
	// only to the on periods.
	Rate float64 `json:"rate"`
	// BurstSize is the number of requests that arrive at once.
	BurstSize  int     `json:"burst,omitempty"`
	OnSeconds  float64 `json:"on_seconds,omitempty"`
	OffSeconds float64 `json:"off_seconds,omitempty"`
}

// Parse decodes and validates a workload in JSON. It returns an error for
// unknown fields, trailing data and invalid values.
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
	return w, w.Validate()
}

// Validate returns all errors of the workload, joined, or nil.
func (w Workload) Validate() error {
	var errs errorList
	errs.require(w.Seconds > 0, "seconds must be greater than 0")
	errs.require(len(w.Workspaces) > 0, "there are no workspaces")
	classNames := make(map[string]bool)
	for i, c := range w.Classes {
		at := fmt.Sprintf("classes[%d]", i)
		errs.require(!classNames[c.Name], "%s: the name %q stands twice", at, c.Name)
		classNames[c.Name] = true
		errs.checkClass(at, c)
	}
	workspaceNames := make(map[state.Workspace]bool)
	for i, ws := range w.Workspaces {
		at := fmt.Sprintf("workspaces[%d]", i)
		errs.require(!workspaceNames[ws.Name], "%s: the name %q stands twice", at, ws.Name)
		workspaceNames[ws.Name] = true
		errs.checkWorkspace(at, ws, classNames)
	}
	return errors.Join(errs...)
}

// errorList collects validation errors.
type errorList []error

func (f *errorList) require(ok bool, format string, args ...any) {
	if !ok {
		*f = append(*f, fmt.Errorf("workload: "+format, args...))
	}
}

func (f *errorList) checkClass(path string, c Class) {
	f.require(c.Name != "" && c.Service != "", "%s: name and service are needed", path)
	f.require(len(c.Path) > 0 && c.Path[0] == '/', "%s: path must begin with /", path)
	for _, fraction := range []float64{c.KeyedFraction, c.ResentFraction, c.AbandonedFraction} {
		f.require(fraction >= 0 && fraction <= 1, "%s: keyed, resent and abandoned must be from 0 to 1", path)
	}
	switch c.Kind {
	case config.KindEngine:
		f.checkSize(path+".prompt", c.PromptTokens)
		f.checkSize(path+".output", c.OutputTokens)
	case config.KindWorker:
		f.checkSize(path+".busy", c.BusyMS)
	default:
		f.require(false, "%s: kind must be %q or %q", path, config.KindEngine, config.KindWorker)
	}
}

func (f *errorList) checkSize(path string, s SizeDistribution) {
	f.require(s.Median >= 1 && s.Sigma >= 0 && s.Max >= s.Median, "%s: median must be at least 1, sigma not negative and max at least the median", path)
}

func (f *errorList) checkWorkspace(path string, ws Workspace, classes map[string]bool) {
	f.require(ws.Name != "", "%s: name is needed", path)
	f.require(ws.Share > 0, "%s: share must be greater than 0", path)
	for i, a := range ws.Arrivals {
		arrivalPath := fmt.Sprintf("%s.arrivals[%d]", path, i)
		f.require(classes[a.Class], "%s: there is no class %q", arrivalPath, a.Class)
		f.require(a.Rate > 0, "%s: rate must be greater than 0", arrivalPath)
		switch a.Process {
		case Poisson:
		case Bursts:
			f.require(a.BurstSize > 0, "%s: burst must be greater than 0", arrivalPath)
		case OnOff:
			f.require(a.OnSeconds > 0 && a.OffSeconds >= 0, "%s: on_seconds must be greater than 0", arrivalPath)
		default:
			f.require(false, "%s: process must be %q, %q or %q", arrivalPath, Poisson, Bursts, OnOff)
		}
	}
}

func (w Workload) duration() time.Duration {
	return time.Duration(w.Seconds * float64(time.Second))
}

// shares returns the shares of the workspaces, scaled to a sum of 1, in the
// order of the workload.
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

// services returns the services of the classes in order of first appearance.
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
