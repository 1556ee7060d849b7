package admin

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"reflect"

	"github.com/figstile/figstile/state"
	"github.com/figstile/figstile/state/config"
	"github.com/figstile/figstile/state/result"
	"github.com/figstile/figstile/transport/settings"
)

// changeable is implemented by the objects of the settings tree.
type changeable[T any] interface {
	WithChange(config.Change) T
}

// edit is one change of one object: how to read, change and describe it.
type edit[T changeable[T]] struct {
	key     string
	summary string
	// load decodes the current value, which is empty if the object does not
	// exist.
	load func([]byte) (T, error)
	// change applies the change to the object in place.
	change func(*T) error
	// replacesWhole is set if the change does not depend on the current content
	// of the object.
	replacesWhole bool
}

func editRoot(summary string, change func(*config.Root) error) edit[config.Root] {
	return edit[config.Root]{key: config.RootKey, summary: summary, load: loadRoot, change: change}
}

func loadRoot(data []byte) (config.Root, error) {
	if len(data) == 0 {
		return config.Root{}, nil
	}
	return config.ParseRoot(data)
}

func editSubtree(team state.Team, summary string, change func(*config.Subtree) error) edit[config.Subtree] {
	load := func(data []byte) (config.Subtree, error) {
		if len(data) == 0 {
			return config.Subtree{Team: team}, nil
		}
		return config.ParseSubtree(team, data)
	}
	return edit[config.Subtree]{key: config.TeamKey(team), summary: summary, load: load, change: change}
}

// runEdit reads the platform's current version, changes it, and writes it on
// the condition that the version has not changed meanwhile. It does not retry
// after a conflict: the client is shown the change that won and can decide
// again.
func runEdit[T changeable[T]](h *Handler, c *call, e edit[T]) (WriteResult, error) {
	expected, err := c.expectedVersion()
	if err != nil {
		return WriteResult{}, err
	}
	id, err := h.changeID(c)
	if err != nil {
		return WriteResult{}, err
	}
	current, err := h.readCurrent(c, e.key)
	if err != nil {
		return WriteResult{}, err
	}
	if err := h.checkNotLost(current, e.replacesWhole); err != nil {
		return WriteResult{}, err
	}
	changes, _ := config.HistoryOf(e.key, current.Value)
	if done, ok := config.FindChange(changes, id); ok {
		return answerRepeated(e, done, changes, current)
	}
	if expected.given && expected.version != current.Version {
		return WriteResult{}, conflict(current, expected.version, changes)
	}
	value, same, err := e.apply(current.Value)
	if err != nil {
		return WriteResult{}, err
	}
	if same {
		return WriteResult{Key: e.key, Version: current.Version, Unchanged: true}, nil
	}
	updated := value.WithChange(config.Change{ID: id, By: c.name, At: h.options.Now().UTC(), Base: current.Version, Summary: e.summary})
	return h.write(c, e.key, id, current.Version, updated)
}

// answerRepeated answers a client that repeats a change after it lost the
// answer. If the ID was used for a different change, it returns an error,
// because the client would otherwise assume that its change was made.
func answerRepeated[T changeable[T]](e edit[T], previous config.Change, changes []config.Change, current config.Object) (WriteResult, error) {
	if previous.Summary != e.summary {
		return WriteResult{}, badRequest("this change id was used for another change: " + previous.Summary)
	}
	version, _ := config.VersionOf(changes, previous.ID, current.Version)
	return WriteResult{Key: e.key, Version: version, ChangeID: previous.ID}, nil
}

// apply returns the object after the change, and whether it is equal to the
// object before. The value is decoded twice, because the change works in place.
func (e edit[T]) apply(data []byte) (after T, same bool, err error) {
	before, err := e.load(data)
	if err != nil {
		return after, false, err
	}
	after, err = e.load(data)
	if err != nil {
		return after, false, err
	}
	if err := e.change(&after); err != nil {
		return after, false, err
	}
	return after, len(data) > 0 && reflect.DeepEqual(before, after), nil
}

// readCurrent returns the platform's version of an object, or an object with
// version zero if it does not exist.
func (h *Handler) readCurrent(c *call, key string) (config.Object, error) {
	o, err := h.options.Writer.Read(c.r.Context(), key)
	var missing *settings.NotFoundError
	if errors.As(err, &missing) {
		return config.Object{Key: key}, nil
	}
	return o, err
}

// checkNotLost returns an error for an edit of an object that the platform has
// lost while routers still use their copies. The edit would start from an empty
// object, and its higher version would remove all other content, such as all
// other workspaces of a team. Only a write of the whole object is allowed then.
func (h *Handler) checkNotLost(current config.Object, replacesWhole bool) error {
	cached, ok := h.options.Source.Object(current.Key)
	if !ok || replacesWhole || current.Version > 0 {
		return nil
	}
	reason := fmt.Sprintf("the platform has lost this object, which is in force at version %d: restore it as a whole first", cached.Version)
	return invalid(current.Key, reason)
}

func (h *Handler) write(c *call, key, id string, expected uint64, updated any) (WriteResult, error) {
	data, err := json.Marshal(updated)
	if err != nil {
		return WriteResult{}, badRequest("the object holds a number that JSON cannot")
	}
	done := WriteResult{Key: key, Version: expected, ChangeID: id}
	if c.dryRun() {
		done.DryRun = true
		return done, h.options.Writer.Validate(c.r.Context(), key, data)
	}
	done.Version, err = h.options.Writer.Write(c.r.Context(), key, data, expected)
	return done, err
}

func conflict(current config.Object, expected uint64, changes []config.Change) error {
	e := &settings.ConflictError{Key: current.Key, Expected: expected, Version: current.Version}
	if len(changes) > 0 {
		e.Winner = changes[len(changes)-1]
	}
	return e
}

// answerEdit runs an edit and writes the answer with its result.
func answerEdit[T changeable[T]](h *Handler, c *call, e edit[T]) error {
	done, err := runEdit(h, c, e)
	if err != nil {
		return err
	}
	c.w.Header().Set("ETag", etag(done.Version))
	writeJSON(c.w, http.StatusOK, done)
	return nil
}

// invalid returns an error with one fault of the wanted settings.
func invalid(path, reason string) error {
	return &config.Error{Faults: []config.Fault{{Path: path, Reason: reason}}}
}

func notFound(what string) error {
	return result.New(result.NotFound, "there is no "+what)
}
