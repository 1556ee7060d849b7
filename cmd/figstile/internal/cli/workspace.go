package cli

import (
	"fmt"

	"github.com/figstile/figstile/state"
	"github.com/figstile/figstile/state/config"
	"github.com/figstile/figstile/transport/admin"
)

type workspaceCommands struct {
	List        workspaceList        `cmd:"" help:"List workspaces with their part of the fleet."`
	Create      workspaceCreate      `cmd:"" help:"Create a workspace in a team."`
	SetWeight   workspaceSetWeight   `cmd:"" help:"Change a workspace's weight within its team."`
	AddToken    workspaceAddToken    `cmd:"" help:"Make a token for callers; it is printed once."`
	RemoveToken workspaceRemoveToken `cmd:"" help:"Remove a caller's token by its digest."`
	Delete      workspaceDelete      `cmd:"" help:"Delete a workspace; its callers are refused at once."`
}

// listWorkspaces returns the workspaces in force that the token gives access to.
func (a *app) listWorkspaces() ([]admin.WorkspaceDocument, error) {
	var list admin.WorkspaceList
	err := a.client.get(a.ctx, "/workspaces", &list)
	return list.Workspaces, err
}

type workspaceList struct {
	Team string `help:"Only this team's."`
}

func (w workspaceList) Run(a *app) error {
	all, err := a.listWorkspaces()
	if err != nil {
		return err
	}
	shown := admin.WorkspaceList{Workspaces: make([]admin.WorkspaceDocument, 0)}
	for _, doc := range all {
		if w.Team == "" || w.Team == string(doc.Team) {
			shown.Workspaces = append(shown.Workspaces, doc)
		}
	}
	return a.out.show(shown, func() {
		var rows [][]string
		for _, doc := range shown.Workspaces {
			rows = append(rows, formatRow(doc.Name, doc.Team, doc.Weight, formatPercent(doc.Share), len(doc.Tokens), joinNames(doc.Services), joinNames(doc.Models)))
		}
		a.out.printTable([]string{"WORKSPACE", "TEAM", "WEIGHT", "PART", "TOKENS", "SERVICES", "MODELS"}, rows)
	})
}

func formatPercent(part float64) string {
	return fmt.Sprintf("%.2f%%", 100*part)
}

type workspaceCreate struct {
	changeFlags
	Name    string   `arg:"" help:"Name of the workspace, unique over all teams."`
	Team    string   `help:"Team it belongs to." required:""`
	Weight  float64  `help:"Weight within the team." default:"1"`
	Service []string `help:"Service it may use; repeatable. None means all of the team's."`
	Model   []string `help:"Model it may use; repeatable. None means all."`
}

func (w workspaceCreate) Run(a *app) error {
	body := config.Workspace{Name: state.Workspace(w.Name), Weight: w.Weight}
	for _, s := range w.Service {
		body.Services = append(body.Services, state.Service(s))
	}
	for _, m := range w.Model {
		body.Models = append(body.Models, state.Model(m))
	}
	return a.applyChange(w.newChange("POST", escapedPath("teams", w.Team, "workspaces"), body))
}

// existingWorkspace holds the arguments of commands for a workspace that already
// exists. Without --team, the workspace's team is read from the router.
type existingWorkspace struct {
	Name string `arg:"" help:"Name of the workspace."`
	Team string `help:"Its team; by default the one that it has on the asked router."`
}

// path returns the workspace's URL path followed by further segments.
func (e existingWorkspace) path(a *app, further ...string) (string, error) {
	team := e.Team
	if team == "" {
		found, err := a.teamOf(e.Name)
		if err != nil {
			return "", err
		}
		team = found
	}
	return escapedPath(append([]string{"teams", team, "workspaces", e.Name}, further...)...), nil
}

func (a *app) teamOf(workspace string) (string, error) {
	all, err := a.listWorkspaces()
	if err != nil {
		return "", err
	}
	for _, doc := range all {
		if string(doc.Name) == workspace {
			return string(doc.Team), nil
		}
	}
	return "", unknownWorkspaceError(workspace)
}

// unknownWorkspaceError reports that the router does not list the named
// workspace.
type unknownWorkspaceError string

func (e unknownWorkspaceError) Error() string {
	return fmt.Sprintf("the router knows no workspace %s; if it is new, give --team", string(e))
}

func (e unknownWorkspaceError) exitCode() int { return exitRefused }

type workspaceSetWeight struct {
	changeFlags
	existingWorkspace
	Weight float64 `arg:"" help:"The new weight."`
}

func (w workspaceSetWeight) Run(a *app) error {
	path, err := w.path(a, "weight")
	if err != nil {
		return err
	}
	return a.applyChange(w.newChange("PUT", path, admin.SetWeight{Weight: w.Weight}))
}

type workspaceAddToken struct {
	expectFlag
	existingWorkspace
}

func (w workspaceAddToken) Run(a *app) error {
	path, err := w.path(a, "tokens")
	if err != nil {
		return err
	}
	return a.addToken(w.expectFlag, path)
}

type workspaceRemoveToken struct {
	changeFlags
	existingWorkspace
	Digest string `arg:"" help:"SHA-256 digest of the token."`
}

func (w workspaceRemoveToken) Run(a *app) error {
	path, err := w.path(a, "tokens", w.Digest)
	if err != nil {
		return err
	}
	return a.applyChange(w.newChange("DELETE", path, nil))
}

type workspaceDelete struct {
	changeFlags
	existingWorkspace
}

func (w workspaceDelete) Run(a *app) error {
	path, err := w.path(a)
	if err != nil {
		return err
	}
	return a.applyChange(w.newChange("DELETE", path, nil))
}
