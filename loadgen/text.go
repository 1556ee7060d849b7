package loadgen

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
)

// WriteText writes the result as plain-text tables.
func (r *Result) WriteText(w io.Writer) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(tw, "%s: %d requests in %.1f s\n\n", r.title(), len(r.Records), r.Seconds)
	r.writeGroups(tw)
	r.writeServices(tw)
	r.writeControl(tw)
	fmt.Fprintf(tw, "RESULT\tREQUESTS\n")
	for _, name := range slices.Sorted(maps.Keys(r.RequestsByOutcome)) {
		fmt.Fprintf(tw, "%s\t%d\n", name, r.RequestsByOutcome[name])
	}
	if r.MissedSamples > 0 {
		fmt.Fprintf(tw, "\n%d status or load reports did not come\n", r.MissedSamples)
	}
	return tw.Flush()
}

func (r *Result) title() string {
	if r.Direct {
		return r.Workload + " straight to the upstreams in turn"
	}
	return r.Workload
}

func (r *Result) writeGroups(w io.Writer) {
	fmt.Fprintf(w, "WORKSPACE\tCLASS\tREQUESTS\tSERVED\tREFUSED\tCOST\tWAIT P50\tP99\tFIRST P50\tP95\tP99\tPAUSE P95\tTOTAL P50\tP99\tms\n")
	for _, g := range r.Groups {
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%.1f\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\n",
			g.Workspace, g.Class, g.Requests, g.Served, g.Refused, g.Cost,
			g.HeaderLatency.P50, g.HeaderLatency.P99, g.FirstByteLatency.P50, g.FirstByteLatency.P95, g.FirstByteLatency.P99, g.MaxEventGap.P95, g.TotalLatency.P50, g.TotalLatency.P99)
	}
	fmt.Fprintln(w)
}

func (r *Result) writeServices(w io.Writer) {
	fmt.Fprintf(w, "SERVICE\tSERVED\tGAP\tBOUND\tREACH\tSLOTS BUSY WHILE WORK WAITED\tSAMPLES\tLEAST OF SHARE\n")
	for _, s := range r.Services {
		fmt.Fprintf(w, "%s\t%.1f\t%.1f\t%.1f\t%.1f\t%.4f\t%d\t%.2f %s\n",
			s.Name, s.Served, s.MaxGap, s.GapLimit, s.SingleWorkspaceGap, s.BusySlotFraction, s.BusySlotSamples, s.MinReceivedShare.Fraction, s.MinReceivedShare.Workspace)
	}
	fmt.Fprintln(w)
}

func (r *Result) writeControl(w io.Writer) {
	if len(r.ControlRates) == 0 {
		return
	}
	fmt.Fprintf(w, "ROUTER\tCONTROL BYTES/S IN\tOUT\tMESSAGES/S IN\tOUT\n")
	for _, c := range r.ControlRates {
		fmt.Fprintf(w, "%s\t%.0f\t%.0f\t%.1f\t%.1f\n", c.Router, c.BytesIn, c.BytesOut, c.MessagesIn, c.MessagesOut)
	}
	fmt.Fprintf(w, "\nCONTROL MESSAGES OF ALL ROUTERS\tMESSAGES/S\tBYTES/S\n")
	for _, k := range r.ControlKindRates {
		fmt.Fprintf(w, "%s\t%.1f\t%.0f\n", k.Kind, k.Messages, k.Bytes)
	}
	fmt.Fprintln(w)
}
