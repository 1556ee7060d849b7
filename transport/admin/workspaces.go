package admin

import (
	"cmp"
	"fmt"
	"net/http"
	"slices"

	"github.com/figstile/figstile/state/config"
)

func (h *Handler) listWorkspaces(c *call) error {
	v, err := h.view()
	if err != nil {
		return err
	}
	list := WorkspaceList{Workspaces: make([]WorkspaceDocument, 0)}
	for _, t := range v.Root().Teams {
		subtree, ok := v.Subtree(t.Name)
		if !ok || !c.mayAccessTeam(t.Name) {
			continue
		}
		for _, w := range subtree.Workspaces {
			doc := WorkspaceDocument{Workspace: w, Team: t.Name}
			if effective, ok := v.Workspace(w.Name); ok && effective.Team == t.Name {
				doc.Share = effective.Share
			}
			list.Workspaces = append(list.Workspaces, doc)
		}
	}
	slices.SortFunc(list.Workspaces, func(a, b WorkspaceDocument) int { return cmp.Compare(a.Name, b.Name) })
	writeJSON(c.w, http.StatusOK, list)
	return nil
}

// createWorkspace adds a workspace to a team's subtree. It also restores the
// subtree of a deleted team; whether the team exists is decided by its entry in
// the root.
func (h *Handler) createWorkspace(c *call) error {
	var wanted config.Workspace
	if err := c.decode(&wanted); err != nil {
		return err
	}
	summary := fmt.Sprintf("created workspace %s with weight %v", wanted.Name, wanted.Weight)
	return answerEdit(h, c, editSubtree(c.team(), summary, func(s *config.Subtree) error {
		s.Deleted = false
		s.Workspaces = append(s.Workspaces, wanted)
		return nil
	}))
}

func (h *Handler) setWeight(c *call) error {
	var wanted SetWeight
	if err := c.decode(&wanted); err != nil {
		return err
	}
	summary := fmt.Sprintf("set weight of workspace %s to %v", c.workspace(), wanted.Weight)
	return answerEdit(h, c, editWorkspace(c, summary, func(w *config.Workspace) error {
		w.Weight = wanted.Weight
		return nil
	}))
}

func (h *Handler) addToken(c *call) error {
	var wanted AddToken
	if err := c.decode(&wanted); err != nil {
		return err
	}
	summary := fmt.Sprintf("added token %s of workspace %s", shortDigest(wanted.Digest), c.workspace())
	return answerEdit(h, c, editWorkspace(c, summary, func(w *config.Workspace) error {
		w.Tokens = append(w.Tokens, wanted.Digest)
		return nil
	}))
}

func (h *Handler) removeToken(c *call) error {
	summary := fmt.Sprintf("removed token %s of workspace %s", shortDigest(c.r.PathValue("digest")), c.workspace())
	return answerEdit(h, c, editWorkspace(c, summary, func(w *config.Workspace) error {
		return removeDigest(&w.Tokens, c.r.PathValue("digest"))
	}))
}

func (h *Handler) deleteWorkspace(c *call) error {
	summary := fmt.Sprintf("deleted workspace %s", c.workspace())
	return answerEdit(h, c, editSubtree(c.team(), summary, func(s *config.Subtree) error {
		i := indexWorkspace(c, s)
		if i < 0 {
			return notFound(workspaceOf(c))
		}
		s.Workspaces = slices.Delete(s.Workspaces, i, i+1)
		return nil
	}))
}

// editWorkspace returns an edit of one workspace in a team's subtree.
func editWorkspace(c *call, summary string, change func(*config.Workspace) error) edit[config.Subtree] {
	return editSubtree(c.team(), summary, func(s *config.Subtree) error {
		i := indexWorkspace(c, s)
		if i < 0 {
			return notFound(workspaceOf(c))
		}
		return change(&s.Workspaces[i])
	})
}

func indexWorkspace(c *call, s *config.Subtree) int {
	return slices.IndexFunc(s.Workspaces, func(w config.Workspace) bool { return w.Name == c.workspace() })
}

func workspaceOf(c *call) string {
	return fmt.Sprintf("workspace %s in team %s", c.workspace(), c.team())
}
