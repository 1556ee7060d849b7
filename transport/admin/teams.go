package admin

import (
	"cmp"
	"fmt"
	"net/http"
	"slices"

	"github.com/figstile/figstile/state"
	"github.com/figstile/figstile/state/config"
	"github.com/figstile/figstile/state/result"
)

// view returns the settings in force, or an error if there are none yet.
func (h *Handler) view() (*config.View, error) {
	v := h.options.Source.View()
	if v == nil {
		return nil, result.New(result.NotReady, "")
	}
	return v, nil
}

func (h *Handler) listTeams(c *call) error {
	v, err := h.view()
	if err != nil {
		return err
	}
	list := TeamList{Teams: make([]TeamDocument, 0)}
	for _, t := range v.Root().Teams {
		if !c.mayAccessTeam(t.Name) {
			continue
		}
		subtree, _ := v.Subtree(t.Name)
		list.Teams = append(list.Teams, TeamDocument{
			Name:       t.Name,
			Share:      t.Share,
			Services:   t.Services,
			Tokens:     len(t.Tokens),
			Workspaces: len(subtree.Workspaces),
		})
	}
	slices.SortFunc(list.Teams, func(a, b TeamDocument) int { return cmp.Compare(a.Name, b.Name) })
	writeJSON(c.w, http.StatusOK, list)
	return nil
}

func (h *Handler) createTeam(c *call) error {
	var wanted CreateTeam
	if err := c.decode(&wanted); err != nil {
		return err
	}
	summary := fmt.Sprintf("created team %s with share %v", wanted.Name, wanted.Share)
	return answerEdit(h, c, editRoot(summary, func(r *config.Root) error {
		r.Teams = append(r.Teams, config.TeamShare(wanted))
		return nil
	}))
}

func (h *Handler) setShare(c *call) error {
	var wanted SetShare
	if err := c.decode(&wanted); err != nil {
		return err
	}
	summary := fmt.Sprintf("set share of team %s to %v", c.team(), wanted.Share)
	return answerEdit(h, c, editTeam(c.team(), summary, func(t *config.TeamShare) error {
		t.Share = wanted.Share
		return nil
	}))
}

func (h *Handler) addTeamToken(c *call) error {
	var wanted AddToken
	if err := c.decode(&wanted); err != nil {
		return err
	}
	summary := fmt.Sprintf("added token %s of team %s", shortDigest(wanted.Digest), c.team())
	return answerEdit(h, c, editTeam(c.team(), summary, func(t *config.TeamShare) error {
		t.Tokens = append(t.Tokens, wanted.Digest)
		return nil
	}))
}

func (h *Handler) removeTeamToken(c *call) error {
	summary := fmt.Sprintf("removed token %s of team %s", shortDigest(c.r.PathValue("digest")), c.team())
	return answerEdit(h, c, editTeam(c.team(), summary, func(t *config.TeamShare) error {
		return removeDigest(&t.Tokens, c.r.PathValue("digest"))
	}))
}

// editTeam returns an edit of a team's entry in the root.
func editTeam(team state.Team, summary string, change func(*config.TeamShare) error) edit[config.Root] {
	return editRoot(summary, func(r *config.Root) error {
		for i := range r.Teams {
			if r.Teams[i].Name == team {
				return change(&r.Teams[i])
			}
		}
		return notFound("team " + string(team))
	})
}

// shortDigest returns the first digits of a token's digest, which name the
// token in the history. config.Digest.Short returns the same digits.
func shortDigest(digest string) string {
	return digest[:min(len(digest), config.ShortDigits)]
}

func removeDigest(digests *[]string, digest string) error {
	i := slices.Index(*digests, digest)
	if i < 0 {
		return notFound("token with this digest")
	}
	*digests = slices.Delete(*digests, i, i+1)
	return nil
}

// deleteTeam turns the team's subtree into a tombstone, and then removes the
// team from the root. In this order the tree is valid after each step, so that
// a failure between the two is corrected by deleting the team again.
func (h *Handler) deleteTeam(c *call) error {
	team := c.team()
	if expected, err := c.expectedVersion(); err != nil || expected.given || c.dryRun() {
		return badRequest("deleting a team writes two objects; it takes no expected version and no dry run")
	}
	current, err := h.readCurrent(c, config.TeamKey(team))
	if err != nil {
		return err
	}
	summary := "deleted team " + string(team)
	if current.Version > 0 {
		if _, err := runEdit(h, c, tombstoneTeam(c, summary)); err != nil {
			return err
		}
	}
	return answerEdit(h, c, editRoot(summary, func(r *config.Root) error {
		i := slices.IndexFunc(r.Teams, func(t config.TeamShare) bool { return t.Name == team })
		if i < 0 {
			return notFound("team " + string(team))
		}
		r.Teams = slices.Delete(r.Teams, i, i+1)
		return nil
	}))
}

func tombstoneTeam(c *call, summary string) edit[config.Subtree] {
	return editSubtree(c.team(), summary, func(s *config.Subtree) error {
		if len(s.Workspaces) > 0 && !c.force() {
			return invalid("workspaces", fmt.Sprintf("the team still has %d; delete them first, or force", len(s.Workspaces)))
		}
		s.Workspaces = nil
		s.Deleted = true
		return nil
	})
}
