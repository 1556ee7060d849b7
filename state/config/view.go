package config

import (
	"cmp"
	"crypto/subtle"
	"slices"

	"github.com/figstile/figstile/state"
	"github.com/figstile/figstile/state/result"
)

// PrincipalKind is the kind of access that a bearer token grants.
type PrincipalKind uint8

// The kinds of principals. The zero value is not a valid kind.
const (
	// Operator may change the root and all subtrees.
	Operator PrincipalKind = iota + 1
	// TeamAdmin may change the subtree of its own team.
	TeamAdmin
	// Caller may send requests for one workspace.
	Caller
)

// String returns the name of the kind as used in logs and in the history of
// changes.
func (k PrincipalKind) String() string {
	switch k {
	case Operator:
		return "operator"
	case TeamAdmin:
		return "team"
	case Caller:
		return "caller"
	default:
		return "nobody"
	}
}

// Principal is the operator, team or workspace that a bearer token identifies.
type Principal struct {
	Kind PrincipalKind
	// Team is empty for an operator.
	Team state.Team
	// Workspace is set only for a caller.
	Workspace state.Workspace
}

// View is a snapshot of the whole tree. It is derived once and never modified,
// so any number of goroutines may read it without a lock.
type View struct {
	root        Root
	subtrees    map[state.Team]Subtree
	settings    Settings
	services    map[state.Service]Service
	workspaces  map[state.Workspace]WorkspaceSettings
	credentials map[Digest]credential
	faults      faults
}

// credential holds the principal of one token digest. It repeats the digest,
// which is the map key, for a comparison in constant time.
type credential struct {
	digest    Digest
	principal Principal
}

// NewView derives a view from parsed objects. Objects that were checked
// separately may still conflict, because two teams can write at the same
// moment. In a conflict, the team listed first in the root keeps the name, and
// Err reports what was left out. References to unknown names allow no access.
func NewView(root Root, subtrees []Subtree) *View {
	v := &View{
		root:        root,
		subtrees:    make(map[state.Team]Subtree),
		services:    make(map[state.Service]Service),
		workspaces:  make(map[state.Workspace]WorkspaceSettings),
		credentials: make(map[Digest]credential),
	}
	for _, s := range subtrees {
		if !s.Deleted {
			v.subtrees[s.Team] = s
		}
	}
	v.addServices()
	v.addAdministrators()
	v.addTeams()
	slices.SortFunc(v.settings.Workspaces, func(a, b WorkspaceSettings) int { return cmp.Compare(a.Name, b.Name) })
	return v
}

func (v *View) addServices() {
	for _, s := range v.root.Services {
		s = s.withDefaults()
		v.services[s.Name] = s
		v.settings.Services = append(v.settings.Services, s)
	}
	slices.SortFunc(v.settings.Services, func(a, b Service) int { return cmp.Compare(a.Name, b.Name) })
}

// addAdministrators must run before tokens of callers are added. Otherwise a
// team could list an operator's digest among its callers' tokens and thereby
// remove the operator's rights.
func (v *View) addAdministrators() {
	v.addTokens(RootKey, v.root.OperatorTokens, Principal{Kind: Operator})
	for _, t := range v.root.Teams {
		v.addTokens(RootKey, t.Tokens, Principal{Kind: TeamAdmin, Team: t.Name})
	}
}

func (v *View) addTokens(path string, digests []string, p Principal) {
	for _, s := range digests {
		d, ok := parseDigest(s)
		if !ok {
			continue
		}
		if _, used := v.credentials[d]; used {
			v.faults.add(path, "token %s is used twice", d.Short())
			continue
		}
		v.credentials[d] = credential{digest: d, principal: p}
	}
}

func (v *View) addTeams() {
	members := v.assignWorkspaces()
	total := 0.0
	for _, t := range v.root.Teams {
		if len(members[t.Name]) > 0 {
			total += t.Share
		}
	}
	for _, t := range v.root.Teams {
		v.addWorkspaces(t, t.Share/total, members[t.Name])
	}
}

// assignWorkspaces assigns each workspace name to one team.
func (v *View) assignWorkspaces() map[state.Team][]Workspace {
	owner := make(map[state.Workspace]state.Team)
	members := make(map[state.Team][]Workspace)
	for _, t := range v.root.Teams {
		for _, w := range v.subtrees[t.Name].Workspaces {
			if ownerTeam, used := owner[w.Name]; used {
				v.faults.add(TeamKey(t.Name), "workspace %q belongs to team %q", w.Name, ownerTeam)
				continue
			}
			owner[w.Name] = t.Name
			members[t.Name] = append(members[t.Name], w)
		}
	}
	return members
}

// addWorkspaces divides a team's share among its workspaces. Teams without
// workspaces are left out, so that the shares in use add up to 1.
func (v *View) addWorkspaces(t TeamShare, teamShare float64, members []Workspace) {
	weights := 0.0
	for _, w := range members {
		weights += w.Weight
	}
	for _, w := range members {
		settings := WorkspaceSettings{
			Name:     w.Name,
			Team:     t.Name,
			Share:    teamShare * (w.Weight / weights),
			Services: intersect(t.Services, w.Services),
			Models:   nilIfEmpty(w.Models),
		}
		v.workspaces[w.Name] = settings
		v.settings.Workspaces = append(v.settings.Workspaces, settings)
		v.addTokens(TeamKey(t.Name), w.Tokens, Principal{Kind: Caller, Team: t.Name, Workspace: w.Name})
	}
}

// nilIfEmpty converts a list of an object, where an empty list means all, into
// a list of the derived settings, where only nil means all.
func nilIfEmpty[T any](list []T) []T {
	if len(list) == 0 {
		return nil
	}
	return list
}

// intersect returns the services that both lists allow. For lists without a
// common service it returns an empty list and never nil, because nil would
// allow all services.
func intersect(team, workspace []state.Service) []state.Service {
	if len(team) == 0 {
		return nilIfEmpty(workspace)
	}
	if len(workspace) == 0 {
		return team
	}
	common := make([]state.Service, 0, len(workspace))
	for _, s := range workspace {
		if slices.Contains(team, s) {
			common = append(common, s)
		}
	}
	return common
}

// Settings returns the flat settings, with services and workspaces ordered by
// name. The caller must not modify them.
func (v *View) Settings() Settings {
	return v.settings
}

// Root returns the operators' object. The caller must not modify it.
func (v *View) Root() Root {
	return v.root
}

// Subtree returns a team's object, unless there is none or it is deleted. The
// caller must not modify it.
func (v *View) Subtree(team state.Team) (Subtree, bool) {
	s, ok := v.subtrees[team]
	return s, ok
}

// Err returns an *Error with the conflicts between objects, or nil. The
// conflicting names and tokens were left out of the view.
func (v *View) Err() error {
	return v.faults.err()
}

// Authenticate returns the principal that a bearer token identifies. The map is
// keyed by the token's digest, so the duration of a lookup reveals nothing
// about other tokens. The digest found is compared once more in constant time.
func (v *View) Authenticate(token string) (Principal, bool) {
	if token == "" {
		return Principal{}, false
	}
	digest := DigestOf(token)
	cred, ok := v.credentials[digest]
	equal := subtle.ConstantTimeCompare(digest[:], cred.digest[:]) == 1
	if !ok || !equal {
		return Principal{}, false
	}
	return cred.principal, true
}

// Service returns a service with defaults filled in.
func (v *View) Service(name state.Service) (Service, bool) {
	s, ok := v.services[name]
	return s, ok
}

// Workspace returns the effective settings of a workspace.
func (v *View) Workspace(name state.Workspace) (WorkspaceSettings, bool) {
	w, ok := v.workspaces[name]
	return w, ok
}

// Allows reports whether the workspace may use the service and model. It
// returns OK, Unauthorized for an unknown workspace, UnknownService,
// UnknownModel or Forbidden. A service without a list of models passes any
// model name on to its upstreams, and a service of workers accepts no model
// name.
func (v *View) Allows(ws state.Workspace, service state.Service, model state.Model) result.Code {
	w, ok := v.workspaces[ws]
	if !ok {
		return result.Unauthorized
	}
	s, ok := v.services[service]
	if !ok {
		return result.UnknownService
	}
	if w.Services != nil && !slices.Contains(w.Services, service) {
		return result.Forbidden
	}
	if s.Kind == KindWorker {
		return allowsNoModel(model)
	}
	if !allowedBy(s.Models, model) {
		return result.UnknownModel
	}
	if !allowedBy(w.Models, model) {
		return result.Forbidden
	}
	return result.OK
}

func allowsNoModel(model state.Model) result.Code {
	if model != "" {
		return result.UnknownModel
	}
	return result.OK
}
