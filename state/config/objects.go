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
	// Prefix is the prefix of every key of the tree.
	Prefix = "config/"
	// RootKey is the key of the operators' object.
	RootKey = Prefix + "root"
	// TeamPrefix is the prefix of the keys of the teams' objects.
	TeamPrefix = Prefix + "teams/"
)

// ErrUnknownKey is returned for a key that does not belong to the tree.
var ErrUnknownKey = errors.New("config: not a key of the tree")

// TeamKey returns the key of a team's object.
func TeamKey(team state.Team) string {
	return TeamPrefix + string(team)
}

// TeamOf returns the team to whose object the key belongs.
func TeamOf(key string) (state.Team, bool) {
	name, ok := strings.CutPrefix(key, TeamPrefix)
	if !ok || len(name) > MaxNameBytes || !namePattern.MatchString(name) {
		return "", false
	}
	return state.Team(name), true
}

// Object is one version of an object of the tree, as received from the
// platform's store or from a peer.
type Object struct {
	Key     string
	Version uint64
	Value   []byte
}

// InvalidError reports that a version of an object was not applied because its
// value is invalid. The previous version stays in force.
type InvalidError struct {
	Key     string
	Version uint64
	// Err is an *Error or ErrUnknownKey.
	Err error
}

// Error returns the key and version of the object and the reason.
func (e *InvalidError) Error() string {
	return fmt.Sprintf("config: %s at version %d: %v", e.Key, e.Version, e.Err)
}

// Unwrap returns the reason.
func (e *InvalidError) Unwrap() error {
	return e.Err
}

// Tree holds the newest valid version of every object. Versions only increase,
// regardless of the order in which stale reads, peers and watches deliver them.
// Tree does no I/O and is not safe for concurrent use.
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

// Apply applies an object if its version is greater than the stored one.
//
// A router that was cut off, read a lagging replica or restarted can deliver
// old versions, which would revert settings for callers. Apply therefore
// compares only versions and ignores the order and source of objects. If a
// newer version has an invalid value, applying it would remove settings from
// the whole fleet; the valid version stays in force and Apply returns an
// *InvalidError. Objects are never removed: a deleted team is a tombstone with
// its own version.
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

// store parses the value and stores the result as the root or as a team's
// subtree.
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

// recordInvalid records the newest invalid version of a key of the tree.
// Unknown keys are not recorded, because their number is unbounded.
func (t *Tree) recordInvalid(o Object, err error) *InvalidError {
	invalid := &InvalidError{Key: o.Key, Version: o.Version, Err: err}
	previous, ok := t.invalid[o.Key]
	newer := !ok || previous.Version < o.Version
	if newer && !errors.Is(err, ErrUnknownKey) {
		t.invalid[o.Key] = invalid
	}
	return invalid
}

// View returns the current view, or nil until there is a valid root. The view
// is derived on the first call after a change, so a batch of objects needs only
// one derivation.
func (t *Tree) View() *View {
	if t.view == nil && t.root != nil {
		t.view = NewView(*t.root, t.Subtrees())
	}
	return t.view
}

// CheckWith parses an object and checks it against the rest of the tree as if
// it replaced the stored version. Faults that the tree already has are not
// reported again, because otherwise one of two existing conflicts could not be
// fixed without the other.
func (t *Tree) CheckWith(key string, value []byte) error {
	candidate := t.clone()
	if err := candidate.store(Object{Key: key, Value: value}); err != nil {
		return err
	}
	faultsAfter := candidate.crossFaults()
	knownReasons := make(map[string]bool)
	for _, f := range t.crossFaults() {
		knownReasons[f.Reason] = true
	}
	var newFaults faults
	for _, f := range faultsAfter {
		if !knownReasons[f.Reason] {
			newFaults = append(newFaults, f)
		}
	}
	return newFaults.err()
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
	var checkErr *Error
	if errors.As(Check(*t.root, subtrees), &checkErr) {
		return checkErr.Faults
	}
	return nil
}

// Subtrees returns the objects of all teams in undefined order, including
// tombstones.
func (t *Tree) Subtrees() []Subtree {
	subtrees := make([]Subtree, 0, len(t.subtrees))
	for _, s := range t.subtrees {
		subtrees = append(subtrees, s)
	}
	return subtrees
}

// Versions returns the stored version of every object.
func (t *Tree) Versions() map[string]uint64 {
	versions := make(map[string]uint64, len(t.objects))
	for key, o := range t.objects {
		versions[key] = o.Version
	}
	return versions
}

// Object returns the stored version of an object, for example to send it to a
// peer. The caller must not modify the value.
func (t *Tree) Object(key string) (Object, bool) {
	o, ok := t.objects[key]
	return o, ok
}

// InvalidVersion returns the newest invalid version received of an object, or
// zero if there is none newer than the stored one.
func (t *Tree) InvalidVersion(key string) uint64 {
	invalid, ok := t.invalid[key]
	if !ok {
		return 0
	}
	return invalid.Version
}

// Invalid returns, for each object, the newest version that was received but
// not applied.
func (t *Tree) Invalid() map[string]*InvalidError {
	return maps.Clone(t.invalid)
}
