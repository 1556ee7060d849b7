// Package devfleet runs a small fleet on loopback addresses in one process:
// real routers with stand-ins for the platform, the engines and the workers. It
// also sends a mixed load to the fleet and checks from the results whether the
// fleet kept its promises, the guarantees that it gives to callers and
// operators.
package devfleet

import (
	"fmt"
	"slices"

	"github.com/figstile/figstile/state"
	"github.com/figstile/figstile/state/config"
)

// Sample describes a sample deployment.
type Sample struct {
	Name        string
	Engines     state.Service
	Workers     state.Service
	DataCentres []state.DataCentre
	Teams       []Team
	// Draft, Blurb and Urgent name the request classes of the engines, Page and
	// Booking those of the workers. A booking must not run twice.
	Draft, Blurb, Urgent, Page, Booking string
}

// Team holds the share and the workspaces of a team.
type Team struct {
	Name       state.Team
	Share      float64
	Workspaces []Workspace
}

// Workspace describes one workspace of a sample.
type Workspace struct {
	Name   state.Workspace
	Weight float64
	// Large marks a workspace that requests more than its share under LoadUsual
	// and LoadRush.
	Large bool
}

// The sizes of the sample deployments.
const (
	routersPerDataCentre = 2
	engineCount          = 20
	workerCount          = 4
)

// UnknownSampleError is the name of a sample that does not exist.
type UnknownSampleError string

// Error returns a message that lists the existing samples.
func (e UnknownSampleError) Error() string {
	return fmt.Sprintf("devfleet: no sample %q; there are %v", string(e), SampleNames())
}

// SampleNames returns the names of all samples.
func SampleNames() []string {
	var names []string
	for _, s := range samples() {
		names = append(names, s.Name)
	}
	return names
}

// SampleByName returns the sample with the given name, or an
// UnknownSampleError.
func SampleByName(name string) (Sample, error) {
	all := samples()
	i := slices.IndexFunc(all, func(s Sample) bool { return s.Name == name })
	if i < 0 {
		return Sample{}, UnknownSampleError(name)
	}
	return all[i], nil
}

func samples() []Sample { return []Sample{cantabria(), aravena()} }

func cantabria() Sample {
	return Sample{
		Name:        "cantabria",
		Engines:     "redaccion-figstile",
		Workers:     "kiosco-web",
		DataCentres: []state.DataCentre{"sala-laredo", "sala-castro", "sala-santona", "sala-ramales"},
		Draft:       "guide",
		Blurb:       "blurb",
		Urgent:      "caption",
		Page:        "page",
		Booking:     "publication",
		Teams: []Team{
			{Name: "costa", Share: 3, Workspaces: newWorkspaces("laredo", "castro", "santona", "colindres")},
			{Name: "valle", Share: 2, Workspaces: newWorkspaces("ramales", "ampuero", "rasines", "limpias")},
			{Name: "archivo", Share: 2, Workspaces: newWorkspaces("archivo", "traducciones", "eventos", "fotos")},
			{Name: "kioscos", Share: 3, Workspaces: newWorkspaces("estaciones", "oficinas", "puertos", "playas")},
		},
	}
}

func aravena() Sample {
	return Sample{
		Name:        "aravena",
		Engines:     "figstile-aravena",
		Workers:     "reservas-core",
		DataCentres: []state.DataCentre{"pudahuel", "providencia", "quilicura", "san-bernardo"},
		Draft:       "dossier",
		Blurb:       "chat",
		Urgent:      "gate-note",
		Page:        "lookup",
		Booking:     "seat-hold",
		Teams: []Team{
			{Name: "custodia", Share: 4, Workspaces: newWorkspaces("expedientes", "consentimientos", "entregas", "archivo-legal")},
			{Name: "apoderados", Share: 3, Workspaces: newWorkspaces("chat", "avisos", "familias", "reclamos")},
			{Name: "aeropuertos", Share: 2, Workspaces: newWorkspaces("scl", "ccp", "pmc", "anf")},
			{Name: "escoltas", Share: 1, Workspaces: newWorkspaces("turnos", "puertas", "relevos", "ensayos")},
		},
	}
}

// newWorkspaces returns the workspaces of a team. The first one is large.
func newWorkspaces(names ...state.Workspace) []Workspace {
	var workspaces []Workspace
	for i, name := range names {
		workspaces = append(workspaces, Workspace{Name: name, Weight: 1, Large: i == 0})
	}
	return workspaces
}

// Token returns the token that callers of a workspace use in all samples.
func Token(ws state.Workspace) string { return string(ws) + "-token" }

// OperatorToken is the operators' token in all samples.
const OperatorToken = "operator-token"

func tokenDigest(token string) string { return config.DigestOf(token).String() }

// subtree returns the configuration object of a team.
func (t Team) subtree() config.Subtree {
	s := config.Subtree{Team: t.Name}
	for _, w := range t.Workspaces {
		s.Workspaces = append(s.Workspaces, config.Workspace{
			Name:   w.Name,
			Weight: w.Weight,
			Tokens: []string{tokenDigest(Token(w.Name))},
		})
	}
	return s
}

// root returns the operators' configuration object for upstreams with these
// addresses.
func (s Sample) root(engines, workers []config.Upstream) config.Root {
	root := config.Root{
		OperatorTokens: []string{tokenDigest(OperatorToken)},
		Services: []config.Service{
			{Name: s.Engines, Kind: config.KindEngine, Repeatable: true, Upstreams: engines},
			{Name: s.Workers, Kind: config.KindWorker, Upstreams: workers},
		},
	}
	for _, t := range s.Teams {
		root.Teams = append(root.Teams, config.TeamShare{
			Name:   t.Name,
			Share:  t.Share,
			Tokens: []string{tokenDigest(string(t.Name) + "-team-token")},
		})
	}
	return root
}

// workspaceShare returns the fraction of the fleet that a workspace is entitled
// to.
func (s Sample) workspaceShare(team Team, workspace Workspace) float64 {
	teams, weights := 0.0, 0.0
	for _, t := range s.Teams {
		teams += t.Share
	}
	for _, w := range team.Workspaces {
		weights += w.Weight
	}
	return team.Share / teams * workspace.Weight / weights
}
