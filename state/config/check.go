package config

import "github.com/figstile/figstile/state"

// Check finds faults that are visible only across several objects. The objects
// must have been parsed. The path of each fault begins with the object's key.
func Check(root Root, subtrees []Subtree) error {
	c := newCrossCheck(root)
	for _, s := range subtrees {
		if !s.Deleted {
			c.checkSubtree(s)
		}
	}
	return c.faults.err()
}

// crossCheck holds the objects that subtrees refer to, and the names and token
// digests that must be unique across all objects.
type crossCheck struct {
	faults     faults
	teams      map[state.Team]TeamShare
	services   map[state.Service]Service
	models     map[state.Model]bool
	workspaces uniqueNames
	digests    uniqueNames
}

func newCrossCheck(root Root) *crossCheck {
	c := &crossCheck{
		teams:      make(map[state.Team]TeamShare),
		services:   make(map[state.Service]Service),
		models:     make(map[state.Model]bool),
		workspaces: uniqueNames{},
		digests:    uniqueNames{},
	}
	c.addDigests("operator_tokens", root.OperatorTokens)
	for i, t := range root.Teams {
		c.teams[t.Name] = t
		c.addDigests(fieldPath(indexPath("teams", i), "tokens"), t.Tokens)
	}
	for _, s := range root.Services {
		c.services[s.Name] = s
		for _, m := range s.Models {
			c.models[m] = true
		}
	}
	return c
}

func (c *crossCheck) addDigests(path string, digests []string) {
	for i, d := range digests {
		c.digests.checkDigest(&c.faults, objectPath(RootKey, indexPath(path, i)), d)
	}
}

func (c *crossCheck) checkSubtree(s Subtree) {
	key := TeamKey(s.Team)
	if _, ok := c.teams[s.Team]; !ok {
		c.faults.add(objectPath(key, "team"), "the root gives no share to team %q", s.Team)
	}
	for i, w := range s.Workspaces {
		path := objectPath(key, indexPath("workspaces", i))
		c.workspaces.check(&c.faults, fieldPath(path, "name"), string(w.Name))
		c.checkReferences(path, s.Team, w)
		for j, d := range w.Tokens {
			c.digests.checkDigest(&c.faults, indexPath(fieldPath(path, "tokens"), j), d)
		}
	}
}

func (c *crossCheck) checkReferences(path string, team state.Team, w Workspace) {
	for i, s := range w.Services {
		servicePath := indexPath(fieldPath(path, "services"), i)
		if _, ok := c.services[s]; !ok {
			c.faults.add(servicePath, "there is no service %q", s)
			continue
		}
		if !allowedBy(c.teams[team].Services, s) {
			c.faults.add(servicePath, "team %q may not use service %q", team, s)
		}
	}
	for i, m := range w.Models {
		if !c.models[m] {
			c.faults.add(indexPath(fieldPath(path, "models"), i), "no service offers model %q", m)
		}
	}
}

// objectPath returns the path of a value in an object, with the object's key in
// front.
func objectPath(key, path string) string {
	return key + "#" + path
}

// allowedBy reports whether a list in an object contains the item. An empty
// list allows every item.
func allowedBy[T comparable](list []T, item T) bool {
	if len(list) == 0 {
		return true
	}
	for _, listed := range list {
		if listed == item {
			return true
		}
	}
	return false
}
