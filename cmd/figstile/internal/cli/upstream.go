package cli

import "github.com/figstile/figstile/transport/admin"

type upstreamCommands struct {
	List   upstreamList   `cmd:"" help:"List upstreams."`
	Drain  upstreamDrain  `cmd:"" help:"Give an upstream no new work on any router."`
	Resume upstreamResume `cmd:"" help:"Give an upstream work again."`
}

type upstreamList struct{}

func (upstreamList) Run(a *app) error {
	var list admin.UpstreamList
	if err := a.client.get(a.ctx, "/upstreams", &list); err != nil {
		return err
	}
	return a.out.show(list, func() {
		var rows [][]string
		for _, u := range list.Upstreams {
			rows = append(rows, formatRow(u.Name, u.Service, u.DataCentre, u.URL, formatSlots(u.Slots), u.Draining))
		}
		a.out.printTable([]string{"UPSTREAM", "SERVICE", "DATA CENTRE", "URL", "SLOTS", "DRAINING"}, rows)
	})
}

// formatSlots formats the configured number of slots. If none is configured, the
// number in the upstream's load report applies.
func formatSlots(n int) any {
	if n == 0 {
		return "reported"
	}
	return n
}

type upstreamDrain struct {
	changeFlags
	Name string `arg:"" help:"Name of the upstream."`
}

func (u upstreamDrain) Run(a *app) error {
	return a.applyChange(u.newChange("POST", escapedPath("upstreams", u.Name, "drain"), nil))
}

type upstreamResume struct {
	changeFlags
	Name string `arg:"" help:"Name of the upstream."`
}

func (u upstreamResume) Run(a *app) error {
	return a.applyChange(u.newChange("POST", escapedPath("upstreams", u.Name, "resume"), nil))
}
