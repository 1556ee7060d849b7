package config

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/figstile/figstile/state"
)

// Keys of the tree's objects in the platform's store.
const (
	// Prefix is that of every key of the tree.
	Prefix = "config/"
	// RootKey is the key of the operators' object.
	RootKey = Prefix + "root"
	// TeamPrefix is that of the teams' objects.
	TeamPrefix = Prefix + "teams/"
)

// ErrUnknownKey says that a key is none of the tree's.
var ErrUnknownKey = errors.New("config: not a key of the tree")

// TeamKey returns the key of a team's object.
func TeamKey(team state.Team) string {
	return TeamPrefix + string(team)
}

// TeamOf returns the team whose object the key names.
func TeamOf(key string) (state.Team, bool) {
	name, ok := strings.CutPrefix(key, TeamPrefix)
	if !ok || len(name) > MaxNameBytes || !namePattern.MatchString(name) {
		return "", false
	}
	return state.Team(name), true
}

// Object is one version of one object of the tree, as the platform's store
// or a peer hands it over.
type Object struct {
	Key     string
	Version uint64
	Value   []byte
}

// InvalidError says that a version of an object was not taken because its
// value is not valid. The version held before stays in force.
type InvalidError struct {
	Key     string
	Version uint64
	// Err is an *Error or ErrUnknownKey.
	Err error
}

// Error names the object and what is wrong with it.
func (e *InvalidError) Error() string {
	return fmt.Sprintf("config: %s at version %d: %v", e.Key, e.Version, e.Err)
}

// Unwrap returns what is wrong with the value.
func (e *InvalidError) Unwrap() error {
	return e.Err
}

// Tree holds the newest valid version of every object. Versions only rise,
// whatever the order in which stale reads, peers and watches bring them.
// It does no I/O and is not safe for concurrent use.
type Tree struct {
	objects  map[string]Object
	root     *Root
	subtrees map[state.Team]Subtree
	invalid  map[string]*InvalidError
	view     *View
}

// NewTree returns an empty tree.
func NewTree() *Tree {
	return &Tree{
		objects:  make(map[string]Object),
		subtrees: make(map[state.Team]Subtree),
		invalid:  make(map[string]*InvalidError),
	}
}

// Apply takes an object if its version is greater than the one held.
//
// A router that was cut off, read a lagging copy or restarted brings old
// versions along, and callers would see settings go back. Only the version
// decides, never the order or the source, so that cannot happen. A newer
// version with an invalid value would take the fleet's settings away: the
// valid one stays in force and an *InvalidError is returned. Objects are never
// dropped; a deleted team is a tombstone with a version of its own.
func (t *Tree) Apply(o Object) (changed bool, err error) {
	if stored, ok := t.objects[o.Key]; ok && o.Version <= stored.Version {
		return false, nil
	}
	if o.Version == 0 {
		return false, nil
	}
	if err := t.store(o); err != nil {
		return false, t.recordInvalid(o, err)
	}
	o.Value = append([]byte(nil), o.Value...)
	t.objects[o.Key] = o
	if invalid, ok := t.invalid[o.Key]; ok && invalid.Version < o.Version {
		delete(t.invalid, o.Key)
	}
	t.view = nil
	return true, nil
}

// store parses the value and stores what it says.
func (t *Tree) store(o Object) error {
	if o.Key == RootKey {
		root, err := ParseRoot(o.Value)
		if err == nil {
			t.root = &root
		}
		return err
	}
	team, ok := TeamOf(o.Key)
	if !ok {
		return ErrUnknownKey
	}
	subtree, err := ParseSubtree(team, o.Value)
	if err == nil {
		t.subtrees[team] = subtree
	}
	return err
}

// recordInvalid remembers the newest invalid version of a key of the tree. Other
// keys are not remembered: their number is not bounded.
func (t *Tree) recordInvalid(o Object, err error) *InvalidError {
	invalid := &InvalidError{Key: o.Key, Version: o.Version, Err: err}
	known, ok := t.invalid[o.Key]
	newer := !ok || known.Version < o.Version
	if newer && !errors.Is(err, ErrUnknownKey) {
		t.invalid[o.Key] = invalid
	}
	return invalid
}

// View returns the present view, or nil until a valid root is held. It is
// derived on the first call after a change, so that a batch of objects costs
// one derivation.
func (t *Tree) View() *View {
	if t.view == nil && t.root != nil {
		t.view = NewView(*t.root, t.Subtrees())
	}
	return t.view
}

// CheckWith parses an object and checks it against the rest of the tree, as
// if it replaced the version held. Faults that the tree already has and the
// object leaves as they are don't count: of two clashes, the first could
// otherwise never be mended alone.
func (t *Tree) CheckWith(key string, value []byte) error {
	candidate := t.clone()
	if err := candidate.store(Object{Key: key, Value: value}); err != nil {
		return err
	}
	after := candidate.crossFaults()
	known := make(map[string]bool)
	for _, f := range t.crossFaults() {
		known[f.Reason] = true
	}
	var added faults
	for _, f := range after {
		if !known[f.Reason] {
			added = append(added, f)
		}
	}
	return added.err()
}

func (t *Tree) clone() *Tree {
	return &Tree{root: t.root, subtrees: maps.Clone(t.subtrees)}
}

func (t *Tree) crossFaults() faults {
	if t.root == nil {
		return nil
	}
	subtrees := t.Subtrees()
	slices.SortFunc(subtrees, func(a, b Subtree) int { return cmp.Compare(a.Team, b.Team) })
	var found *Error
	if errors.As(Check(*t.root, subtrees), &found) {
		return found.Faults
	}
	return nil
}

// Subtrees returns every team's object, tombstones included, in no order.
func (t *Tree) Subtrees() []Subtree {
	subtrees := make([]Subtree, 0, len(t.subtrees))
	for _, s := range t.subtrees {
		subtrees = append(subtrees, s)
	}
	return subtrees
}

// Versions returns the version held of every object.
func (t *Tree) Versions() map[string]uint64 {
	versions := make(map[string]uint64, len(t.objects))
	for key, o := range t.objects {
		versions[key] = o.Version
	}
	return versions
}

// Object returns the version held of an object, to bring a peer up to date.
// The caller must not change the value.
func (t *Tree) Object(key string) (Object, bool) {
	o, ok := t.objects[key]
	return o, ok
}

// InvalidVersion returns the newest invalid version seen of an object, or zero.
func (t *Tree) InvalidVersion(key string) uint64 {
	invalid, ok := t.invalid[key]
	if !ok {
		return 0
	}
	return invalid.Version
}

// Invalid returns the newest version of each object that was seen but not
// taken.
func (t *Tree) Invalid() map[string]*InvalidError {
	return maps.Clone(t.invalid)
}
