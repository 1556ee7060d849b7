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

// changeable is an object of the tree.
type changeable[T any] interface {
	WithChange(config.Change) T
}

// edit is one change of one object, from reading it to writing it.
type edit[T changeable[T]] struct {
	key     string
	summary string
	// load reads the present value; it is given no bytes if there is none.
	load func([]byte) (T, error)
	// change makes the object what is wanted.
	change func(*T) error
	// replacesWhole says that the change does not build on what the object holds.
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

// runEdit reads the platform's present version, changes it and writes it on the
// condition that nobody else did so meanwhile. It does not try again after a
// conflict: the loser of a race is shown what won and decides anew.
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
	stamped := value.WithChange(config.Change{ID: id, By: c.name, At: h.options.Now().UTC(), Base: current.Version, Summary: e.summary})
	return h.write(c, e.key, id, current.Version, stamped)
}

// answerRepeated answers a client that repeats a change whose answer it lost. An
// id that was used for another change is refused: the client would else
// believe in a change that was never made.
func answerRepeated[T changeable[T]](e edit[T], done config.Change, changes []config.Change, present config.Object) (WriteResult, error) {
	if done.Summary != e.summary {
		return WriteResult{}, badRequest("this change id was used for another change: " + done.Summary)
	}
	version, _ := config.VersionOf(changes, done.ID, present.Version)
	return WriteResult{Key: e.key, Version: version, ChangeID: done.ID}, nil
}

// apply returns the object after the change, and whether it is the same as
// before. The value is loaded twice, as the change works in place.
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

// readCurrent returns the platform's version of an object, or one of version zero
// if there is none.
func (h *Handler) readCurrent(c *call, key string) (config.Object, error) {
	o, err := h.options.Writer.Read(c.r.Context(), key)
	var missing *settings.NotFoundError
	if errors.As(err, &missing) {
		return config.Object{Key: key}, nil
	}
	return o, err
}

// checkNotLost stops an edit of an object that the platform has lost while
// routers go on with their copy. The edit would begin from nothing, and its
// higher version would take away everything else the object holds: all other
// workspaces of a team at once. Only a whole object may be written then.
func (h *Handler) checkNotLost(present config.Object, replacesWhole bool) error {
	cached, ok := h.options.Source.Object(present.Key)
	if !ok || replacesWhole || present.Version > 0 {
		return nil
	}
	reason := fmt.Sprintf("the platform has lost this object, which is in force at version %d: restore it as a whole first", cached.Version)
	return invalid(present.Key, reason)
}

func (h *Handler) write(c *call, key, id string, expected uint64, stamped any) (WriteResult, error) {
	data, err := json.Marshal(stamped)
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

func conflict(present config.Object, expected uint64, changes []config.Change) error {
	e := &settings.ConflictError{Key: present.Key, Expected: expected, Version: present.Version}
	if len(changes) > 0 {
		e.Winner = changes[len(changes)-1]
	}
	return e
}

// answerEdit runs an edit and writes its result.
func answerEdit[T changeable[T]](h *Handler, c *call, e edit[T]) error {
	done, err := runEdit(h, c, e)
	if err != nil {
		return err
	}
	c.w.Header().Set("ETag", etag(done.Version))
	writeJSON(c.w, http.StatusOK, done)
	return nil
}

// invalid returns a fault of the wanted settings.
func invalid(path, reason string) error {
	return &config.Error{Faults: []config.Fault{{Path: path, Reason: reason}}}
}

func notFound(what string) error {
	return result.New(result.NotFound, "there is no "+what)
}
