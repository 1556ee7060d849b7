package devfleet

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// WriteAddresses prints the addresses of the fleet and a curl command for a
// request that succeeds.
func (f *Fleet) WriteAddresses(w io.Writer) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	sample := f.options.Sample
	fmt.Fprintf(tw, "%s: %d engines of %s, %d workers of %s, platform %s\n\n",
		sample.Name, len(f.engines), sample.Engines, len(f.workers), sample.Workers, f.PlatformURL)
	if len(f.Routers) > 0 {
		fmt.Fprintf(tw, "ROUTER\tDATA CENTRE\tCALLERS\tADMINISTRATION\n")
	}
	for i, router := range f.Routers {
		addresses := router.Addresses()
		fmt.Fprintf(tw, "router-%d\t%s\thttp://%s\thttp://%s\n", i+1, f.dataCentre(i/routersPerDataCentre), addresses.Callers, addresses.Admin)
	}
	if err := tw.Flush(); err != nil {
		return err
	}
	if len(f.Routers) == 0 {
		return nil
	}
	_, err := fmt.Fprintf(w, "\n%s\n\nFIGSTILE_TOKEN=%s figstile status --server %s\n",
		f.curl(), OperatorToken, f.adminURL(seedRouter, ""))
	return err
}

func (f *Fleet) curl() string {
	sample := f.options.Sample
	workspace := sample.Teams[0].Workspaces[0].Name
	return fmt.Sprintf("curl -N -H 'Authorization: Bearer %s' -H 'Content-Type: application/json' \\\n"+
		"  -d '{\"stream\":true,\"max_tokens\":8,\"messages\":[{\"role\":\"user\",\"content\":\"hello\"}]}' \\\n"+
		"  http://%s/%s/v1/chat/completions", Token(workspace), f.Routers[seedRouter].Addresses().Callers, sample.Engines)
}

// WriteText prints the metrics of the load and one line for each promise.
func (t Trial) WriteText(w io.Writer) error {
	if err := t.Result.WriteText(w); err != nil {
		return err
	}
	fmt.Fprintln(w)
	if err := writeVerdicts(w, t.Verdicts); err != nil {
		return err
	}
	_, err := fmt.Fprintln(w, "Not checked here: partitions, crashes, a platform that is away, planned stops of routers.")
	return err
}

func writeVerdicts(w io.Writer, verdicts []Verdict) error {
	for _, v := range verdicts {
		label := "held   "
		if !v.Held {
			label = "FAILED "
		}
		if _, err := fmt.Fprintf(w, "%s %s: %s\n", label, v.Promise, v.Checked); err != nil {
			return err
		}
	}
	return nil
}
