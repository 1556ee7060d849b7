package admin

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"regexp"
	"strconv"
	"strings"

	"github.com/figstile/figstile/state"
	"github.com/figstile/figstile/state/config"
	"github.com/figstile/figstile/state/result"
)

// changeIDPattern matches change IDs. The minimum length makes accidental
// collisions unlikely.
var changeIDPattern = regexp.MustCompile(`^[A-Za-z0-9_-]{16,64}$`)

func badRequest(detail string) error {
	return result.New(result.BadRequest, detail)
}

func (c *call) team() state.Team {
	return state.Team(c.r.PathValue("team"))
}

func (c *call) workspace() state.Workspace {
	return state.Workspace(c.r.PathValue("workspace"))
}

// key returns the key of the object that the path names, if the actor may
// access it. For a team's administrator, an object without access and one that
// cannot exist give the same answer.
func (c *call) key() (string, error) {
	key := config.Prefix + c.r.PathValue("key")
	_, isTeam := config.TeamOf(key)
	if !c.mayAccessKey(key) {
		return "", accessDenied(key)
	}
	if !isTeam && key != config.RootKey {
		return "", result.New(result.NotFound, "there is no "+key)
	}
	return key, nil
}

func (c *call) dryRun() bool {
	dry, _ := strconv.ParseBool(c.r.URL.Query().Get("dry_run"))
	return dry
}

func (c *call) force() bool {
	force, _ := strconv.ParseBool(c.r.URL.Query().Get("force"))
	return force
}

// body reads the body up to the maximum size of an object.
func (c *call) body() ([]byte, error) {
	data, err := io.ReadAll(http.MaxBytesReader(c.w, c.r.Body, config.MaxObjectBytes))
	var tooLarge *http.MaxBytesError
	if err != nil && !errors.As(err, &tooLarge) {
		return nil, badRequest("the body broke off")
	}
	return data, err
}

// decode decodes the body of an edit.
func (c *call) decode(into any) error {
	data, err := c.body()
	if err != nil {
		return err
	}
	dec := json.NewDecoder(strings.NewReader(string(data)))
	dec.DisallowUnknownFields()
	if err := dec.Decode(into); err != nil {
		return badRequest("the body is not understood: " + err.Error())
	}
	if dec.More() {
		return badRequest("there is data after the body")
	}
	return nil
}

// versionCondition is the version that a client wants to replace.
type versionCondition struct {
	version uint64
	given   bool
}

// expectedVersion reads If-Match with a version, or If-None-Match with a star
// for an object that must not exist.
func (c *call) expectedVersion() (versionCondition, error) {
	match := c.r.Header.Get("If-Match")
	none := c.r.Header.Get("If-None-Match")
	switch {
	case match == "" && none == "":
		return versionCondition{}, nil
	case match == "" && none == "*":
		return versionCondition{given: true}, nil
	case none != "":
		return versionCondition{}, badRequest("If-None-Match takes only a star, and no If-Match beside it")
	}
	version, err := strconv.ParseUint(strings.Trim(match, `"`), 10, 64)
	if err != nil {
		return versionCondition{}, badRequest("If-Match takes one version")
	}
	return versionCondition{version: version, given: true}, nil
}

// changeID returns the change ID that the client chose, or a new one.
func (h *Handler) changeID(c *call) (string, error) {
	id := c.r.Header.Get(HeaderChangeID)
	if id == "" {
		return h.options.NewID(), nil
	}
	if !changeIDPattern.MatchString(id) {
		return "", badRequest(HeaderChangeID + " must match " + changeIDPattern.String())
	}
	return id, nil
}

// etag returns a version in the form of an entity tag.
func etag(version uint64) string {
	return `"` + strconv.FormatUint(version, 10) + `"`
}
