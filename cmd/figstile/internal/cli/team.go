package cli

import (
	"github.com/figstile/figstile/state"
	"github.com/figstile/figstile/transport/admin"
)

type teamCommands struct {
	List        teamList        `cmd:"" help:"List teams."`
	Create      teamCreate      `cmd:"" help:"Create a team with a share."`
	SetShare    teamSetShare    `cmd:"" help:"Change a team's share."`
	AddToken    teamAddToken    `cmd:"" help:"Make a token for a team's administrators; it is printed once."`
	RemoveToken teamRemoveToken `cmd:"" help:"Remove a team's token by its digest."`
	Delete      teamDelete      `cmd:"" help:"Delete a team."`
}

type teamList struct{}

func (teamList) Run(a *app) error {
	var teams admin.TeamList
	if err := a.client.get(a.ctx, "/teams", &teams); err != nil {
		return err
	}
	return a.out.show(teams, func() {
		var rows [][]string
		for _, t := range teams.Teams {
			rows = append(rows, formatRow(t.Name, t.Share, t.Workspaces, t.Tokens, joinNames(t.Services)))
		}
		a.out.printTable([]string{"TEAM", "SHARE", "WORKSPACES", "TOKENS", "SERVICES"}, rows)
	})
}

type teamCreate struct {
	changeFlags
	Name    string   `arg:"" help:"Name of the team."`
	Share   float64  `help:"Share beside the other teams' shares." required:""`
	Service []string `help:"Service the team may use; repeatable. None means all."`
}

func (t teamCreate) Run(a *app) error {
	body := admin.CreateTeam{Name: state.Team(t.Name), Share: t.Share}
	for _, s := range t.Service {
		body.Services = append(body.Services, state.Service(s))
	}
	return a.applyChange(t.newChange("POST", "/teams", body))
}

type teamSetShare struct {
	changeFlags
	Name  string  `arg:"" help:"Name of the team."`
	Share float64 `arg:"" help:"The new share."`
}

func (t teamSetShare) Run(a *app) error {
	return a.applyChange(t.newChange("PUT", escapedPath("teams", t.Name, "share"), admin.SetShare{Share: t.Share}))
}

type teamAddToken struct {
	expectFlag
	Name string `arg:"" help:"Name of the team."`
}

func (t teamAddToken) Run(a *app) error {
	return a.addToken(t.expectFlag, escapedPath("teams", t.Name, "tokens"))
}

type teamRemoveToken struct {
	changeFlags
	Name   string `arg:"" help:"Name of the team."`
	Digest string `arg:"" help:"SHA-256 digest of the token."`
}

func (t teamRemoveToken) Run(a *app) error {
	return a.applyChange(t.newChange("DELETE", escapedPath("teams", t.Name, "tokens", t.Digest), nil))
}

type teamDelete struct {
	idFlag
	Name  string `arg:"" help:"Name of the team."`
	Force bool   `help:"Delete it with its workspaces; their callers are refused at once."`
}

func (t teamDelete) Run(a *app) error {
	c := changeFlags{idFlag: t.idFlag}.newChange("DELETE", escapedPath("teams", t.Name), nil)
	if t.Force {
		c.query.Set("force", "true")
	}
	return a.applyChange(c)
}

// applyChange sends the change c and prints its result.
func (a *app) applyChange(c *change) error {
	var writeResult admin.WriteResult
	if err := a.client.apply(a.ctx, c, &writeResult); err != nil {
		return err
	}
	return a.out.printWriteResult(writeResult)
}
