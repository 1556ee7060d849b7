package admin

import (
	"cmp"
	"maps"
	"net/http"
	"slices"

	"github.com/figstile/figstile/state/config"
	"github.com/figstile/figstile/state/result"
)

// listObjects answers with the versions in force on this router.
func (h *Handler) listObjects(c *call) error {
	list := ObjectList{Objects: h.versions(c.mayAccessKey), Refused: h.refused(c.mayAccessKey)}
	writeJSON(c.w, http.StatusOK, list)
	return nil
}

func (h *Handler) versions(mayAccess func(key string) bool) []ObjectVersion {
	found := make([]ObjectVersion, 0)
	for _, key := range slices.Sorted(maps.Keys(h.options.Source.Versions())) {
		o, ok := h.options.Source.Object(key)
		if !ok || !mayAccess(key) {
			continue
		}
		found = append(found, objectVersion(o))
	}
	return found
}

func objectVersion(o config.Object) ObjectVersion {
	v := ObjectVersion{Key: o.Key, Version: o.Version}
	changes, err := config.HistoryOf(o.Key, o.Value)
	if err == nil && len(changes) > 0 {
		v.Change = &changes[len(changes)-1]
	}
	return v
}

func (h *Handler) refused(mayAccess func(key string) bool) []RefusedVersion {
	var found []RefusedVersion
	for key, rejected := range h.options.Source.InvalidObjects() {
		if mayAccess(key) {
			found = append(found, RefusedVersion{Key: key, Version: rejected.Version, Reason: rejected.Err.Error()})
		}
	}
	slices.SortFunc(found, func(a, b RefusedVersion) int { return cmp.Compare(a.Key, b.Key) })
	return found
}

// read returns the platform's version of an object or, if the platform is
// unavailable or has lost it, the version in force on this router. Operators
// need to see the settings most during an outage.
func (h *Handler) read(c *call, key string) (config.Object, string, error) {
	o, err := h.options.Writer.Read(c.r.Context(), key)
	if err == nil {
		return o, FromPlatform, nil
	}
	cached, ok := h.options.Source.Object(key)
	if !ok {
		return o, "", err
	}
	return cached, FromRouter, nil
}

func (h *Handler) getObject(c *call) error {
	key, err := c.key()
	if err != nil {
		return err
	}
	o, source, err := h.read(c, key)
	if err != nil {
		return err
	}
	c.w.Header().Set("ETag", etag(o.Version))
	writeJSON(c.w, http.StatusOK, ObjectDocument{Key: key, Version: o.Version, Source: source, Value: o.Value})
	return nil
}

func (h *Handler) getHistory(c *call) error {
	key, err := c.key()
	if err != nil {
		return err
	}
	o, source, err := h.read(c, key)
	if err != nil {
		return err
	}
	changes, err := config.HistoryOf(key, o.Value)
	if err != nil {
		return result.New(result.ConfigInvalid, key+" cannot be read")
	}
	doc := HistoryDocument{Key: key, Version: o.Version, Source: source, Changes: make([]ChangeRecord, 0, len(changes))}
	for _, change := range slices.Backward(changes) {
		version, _ := config.VersionOf(changes, change.ID, o.Version)
		doc.Changes = append(doc.Changes, ChangeRecord{Change: change, Version: version})
	}
	writeJSON(c.w, http.StatusOK, doc)
	return nil
}

// putObject replaces a whole object. The client must state which version it
// replaces. The change ID and the history in the body are ignored.
func (h *Handler) putObject(c *call) error {
	key, err := c.key()
	if err != nil {
		return err
	}
	expected, err := c.expectedVersion()
	if err != nil {
		return err
	}
	if !expected.given {
		return badRequest("a whole object needs If-Match with the version it replaces, or If-None-Match: *")
	}
	data, err := c.body()
	if err != nil {
		return err
	}
	if team, ok := config.TeamOf(key); ok {
		wanted, err := config.ParseSubtree(team, data)
		if err != nil {
			return err
		}
		return answerEdit(h, c, replaceSubtree(c, wanted))
	}
	wanted, err := config.ParseRoot(data)
	if err != nil {
		return err
	}
	return answerEdit(h, c, replaceRoot(wanted))
}

const replacedWhole = "replaced as a whole"

func replaceRoot(wanted config.Root) edit[config.Root] {
	e := editRoot(replacedWhole, func(r *config.Root) error {
		wanted.ChangeID, wanted.History = r.ChangeID, r.History
		*r = wanted
		return requireOperatorToken(wanted)
	})
	e.load = func(data []byte) (config.Root, error) {
		root, err := loadRoot(data)
		if err != nil {
			root.History, _ = config.HistoryOf(config.RootKey, data)
		}
		return root, nil
	}
	e.replacesWhole = true
	return e
}

// requireOperatorToken returns an error for a root without operator tokens,
// which would lock out all operators and could not be corrected through the
// API.
func requireOperatorToken(r config.Root) error {
	if len(r.OperatorTokens) == 0 {
		return invalid("operator_tokens", "at least one must remain")
	}
	return nil
}

func replaceSubtree(c *call, wanted config.Subtree) edit[config.Subtree] {
	e := editSubtree(wanted.Team, replacedWhole, func(s *config.Subtree) error {
		if wanted.Deleted != s.Deleted && !c.isOperator() {
			return accessDenied("the existence of a team")
		}
		wanted.ChangeID, wanted.History = s.ChangeID, s.History
		*s = wanted
		return nil
	})
	parse := e.load
	e.load = func(data []byte) (config.Subtree, error) {
		subtree, err := parse(data)
		if err != nil {
			subtree = config.Subtree{Team: wanted.Team}
			subtree.History, _ = config.HistoryOf(e.key, data)
		}
		return subtree, nil
	}
	e.replacesWhole = true
	return e
}
