package upstream

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"github.com/figstile/figstile/state"
)

// Limits of a load report. They are far above those of any real engine and
// prevent a faulty engine from filling a router's memory or attracting all of
// its requests.
const (
	maxReportBytes = 1 << 20
	maxSlots       = 1 << 16
	maxModels      = 1 << 10
	maxNameBytes   = 256
)

// ReportError is the error of an invalid or missing load report.
type ReportError struct {
	Upstream state.Upstream
	Reason   string
	Cause    error
}

// Error returns a text with the upstream, the reason and the cause.
func (e *ReportError) Error() string {
	text := fmt.Sprintf("upstream: load report of %s: %s", e.Upstream, e.Reason)
	if e.Cause != nil {
		text += ": " + e.Cause.Error()
	}
	return text
}

// Unwrap returns the cause, which may be nil.
func (e *ReportError) Unwrap() error { return e.Cause }

// FetchReport fetches and checks an upstream's load report.
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
		return state.LoadReport{}, &ReportError{Upstream: upstream, Reason: "incomplete answer", Cause: err}
	}
	return DecodeReport(upstream, body)
}

// DecodeReport decodes and checks the load report of an upstream. A report that
// names another upstream belongs to another request or comes from a reused
// address. If it were accepted, requests and orders would be sent based on the
// wrong load.
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

// CheckReport returns a *ReportError if the report is invalid.
func CheckReport(upstream state.Upstream, report state.LoadReport) error {
	if reason := reportFault(upstream, report); reason != "" {
		return &ReportError{Upstream: upstream, Reason: reason}
	}
	return nil
}

// reportFault returns the reason for which a report is invalid, or an empty
// string.
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
