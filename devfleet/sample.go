// Package devfleet runs a small fleet on loopback in one process: stand-ins
// for the platform, engines and workers, and real routers before them. It also
// sends it a mixed load and checks the fleet's promises on what came of it.
package devfleet

import (
	"fmt"
	"slices"

	"github.com/figstile/figstile/state"
	"github.com/figstile/figstile/state/config"
)

// Sample is a deployment by name.
type Sample struct {
	Name        string
	Engines     state.Service
	Workers     state.Service
	DataCentres []state.DataCentre
	Teams       []Team
	// Draft, Blurb and Urgent are classes of the engines' work, Page and
	// Booking of the workers'; a booking may not run twice.
	Draft, Blurb, Urgent, Page, Booking string
}

// Team is a team's share and its workspaces.
type Team struct {
	Name       state.Team
	Share      float64
	Workspaces []Workspace
}

// Workspace is one workspace.
type Workspace struct {
	Name   state.Workspace
	Weight float64
	// Large workspaces ask for more than their share all the time.
	Large bool
}

// The sizes of both deployments.
const (
	routersPerDataCentre = 2
	engineCount          = 20
	workerCount          = 4
)

// UnknownSampleError names a sample that does not exist.
type UnknownSampleError string

// Error lists the samples there are.
func (e UnknownSampleError) Error() string {
	return fmt.Sprintf("devfleet: no sample %q; there are %v", string(e), SampleNames())
}

// SampleNames lists the samples.
func SampleNames() []string {
	var names []string
	for _, s := range samples() {
		names = append(names, s.Name)
	}
	return names
}

// SampleByName returns a sample.
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

// newWorkspaces are a team's workspaces; the first is large.
func newWorkspaces(names ...state.Workspace) []Workspace {
	var workspaces []Workspace
	for i, name := range names {
		workspaces = append(workspaces, Workspace{Name: name, Weight: 1, Large: i == 0})
	}
	return workspaces
}

// Token returns the token that callers of a workspace use in a sample.
func Token(ws state.Workspace) string { return string(ws) + "-token" }

// OperatorToken is the operators' token of every sample.
const OperatorToken = "operator-token"

func tokenDigest(token string) string { return config.DigestOf(token).String() }

// subtree returns a team's object.
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

// root returns the operators' object for the upstreams at these addresses.
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

// workspaceShare returns a workspace's part of the whole.
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
