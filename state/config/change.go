package config

import (
	"encoding/json"
	"time"
)

// MaxHistory bounds the changes that an object remembers. It must exceed the
// writes that can overtake one another while a writer settles a lost answer,
// and stay small beside the object itself: an entry has about 150 bytes.
const MaxHistory = 20

// Change records one write of an object. It travels inside the object, so
// that no write can take effect without its record.
type Change struct {
	ID string `json:"id"`
	// By names the token that made the change, as in operator/3fa2c1d9.
	By string    `json:"by"`
	At time.Time `json:"at"`
	// Base is the version that the change replaced; zero for the first. The
	// version it produced is the next change's Base, or the object's own.
	Base uint64 `json:"base"`
	// Summary says in a few words what was changed.
	Summary string `json:"summary,omitempty"`
}

// FindChange returns the change with the id.
func FindChange(history []Change, id string) (Change, bool) {
	for _, c := range history {
		if c.ID == id {
			return c, true
		}
	}
	return Change{}, false
}

// VersionOf returns the version that a change produced, given the version of
// the object that carries the history.
func VersionOf(history []Change, id string, current uint64) (uint64, bool) {
	for i, c := range history {
		if c.ID != id {
			continue
		}
		if i+1 < len(history) {
			return history[i+1].Base, true
		}
		return current, true
	}
	return 0, false
}

// HistoryOf returns the changes that an object of the tree carries. It does
// not check the rest of the object.
func HistoryOf(key string, value []byte) ([]Change, error) {
	if _, ok := TeamOf(key); !ok && key != RootKey {
		return nil, ErrUnknownKey
	}
	var carrier struct {
		History []Change `json:"history"`
	}
	err := json.Unmarshal(value, &carrier)
	return carrier.History, err
}

// appendChange returns the last MaxHistory changes with c added, without
// touching the slice it was given.
func appendChange(history []Change, c Change) []Change {
	firstKept := max(0, len(history)+1-MaxHistory)
	kept := make([]Change, 0, MaxHistory)
	kept = append(kept, history[firstKept:]...)
	return append(kept, c)
}

// WithChange returns the root as written by c.
func (r Root) WithChange(c Change) Root {
	r.ChangeID = c.ID
	r.History = appendChange(r.History, c)
	return r
}

// WithChange returns the subtree as written by c.
func (s Subtree) WithChange(c Change) Subtree {
	s.ChangeID = c.ID
	s.History = appendChange(s.History, c)
	return s
}

func (fs *faults) checkHistory(history []Change, changeID string) {
	if len(history) > MaxHistory {
		fs.add("history", "has %d changes, the limit is %d", len(history), MaxHistory)
	}
	if len(history) > 0 && history[len(history)-1].ID != changeID {
		fs.add("change_id", "must be the id of the last change in the history")
	}
}
