package upstream

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"github.com/figstile/figstile/state"
)

// Bounds of a load report. They are far above any real engine and keep a
// broken one from filling a router's memory or winning all of its work.
const (
	maxReportBytes = 1 << 20
	maxSlots       = 1 << 16
	maxModels      = 1 << 10
	maxNameBytes   = 256
)

// ReportError is a load report that cannot be right.
type ReportError struct {
	Upstream state.Upstream
	Reason   string
	Cause    error
}

// Error names the upstream and the reason.
func (e *ReportError) Error() string {
	text := fmt.Sprintf("upstream: load report of %s: %s", e.Upstream, e.Reason)
	if e.Cause != nil {
		text += ": " + e.Cause.Error()
	}
	return text
}

// Unwrap returns the cause, which may be nil.
func (e *ReportError) Unwrap() error { return e.Cause }

// FetchReport reads an upstream's load report.
func FetchReport(ctx context.Context, client *http.Client, baseURL string, upstream state.Upstream) (state.LoadReport, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, baseURL+"/load", nil)
	if err != nil {
		return state.LoadReport{}, &ReportError{Upstream: upstream, Reason: "bad address", Cause: err}
	}
	response, err := client.Do(request)
	if err != nil {
		return state.LoadReport{}, &ReportError{Upstream: upstream, Reason: "no answer", Cause: err}
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return state.LoadReport{}, &ReportError{Upstream: upstream, Reason: response.Status}
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxReportBytes))
	if err != nil {
		return state.LoadReport{}, &ReportError{Upstream: upstream, Reason: "no whole answer", Cause: err}
	}
	return DecodeReport(upstream, body)
}

// DecodeReport decodes and checks the load report of an upstream. A report that
// names another upstream was crossed or comes from a reused address; taken for
// this one's, it would send work and orders by the wrong load.
func DecodeReport(upstream state.Upstream, body []byte) (state.LoadReport, error) {
	var report state.LoadReport
	if err := json.Unmarshal(body, &report); err != nil {
		return state.LoadReport{}, &ReportError{Upstream: upstream, Reason: "not JSON", Cause: err}
	}
	if err := CheckReport(upstream, report); err != nil {
		return state.LoadReport{}, err
	}
	return report, nil
}

// CheckReport returns a *ReportError if nothing may go by the report.
func CheckReport(upstream state.Upstream, report state.LoadReport) error {
	if reason := reportFault(upstream, report); reason != "" {
		return &ReportError{Upstream: upstream, Reason: reason}
	}
	return nil
}

// reportFault returns what is wrong with a report, or nothing.
func reportFault(upstream state.Upstream, report state.LoadReport) string {
	switch {
	case report.Upstream != upstream:
		return "names another upstream"
	case report.Boot == "" || len(report.Boot) > maxNameBytes:
		return "boot is missing or too long"
	case report.Running < 0 || report.Waiting < 0:
		return "negative count"
	case report.Slots < 0 || report.Slots > maxSlots:
		return "slots out of range"
	case len(report.Models) > maxModels:
		return "too many models"
	}
	for _, model := range report.Models {
		if model == "" || len(model) > maxNameBytes {
			return "model name is empty or too long"
		}
	}
	return ""
}
