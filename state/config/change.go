package config

import (
	"encoding/json"
	"time"
)

// MaxHistory bounds the changes kept in an object's history. It must exceed the
// number of other writes that can take effect while a writer whose answer was
// lost finds out whether its own write succeeded. It must also stay small
// compared with the object, as an entry takes about 150 bytes.
const MaxHistory = 20

// Change describes one write of an object. It is stored inside the object, so
// that no write can take effect without its record.
type Change struct {
	ID string `json:"id"`
	// By names the token that made the change, for example operator/3fa2c1d9.
	By string    `json:"by"`
	At time.Time `json:"at"`
	// Base is the version that the change replaced; zero for the first change.
	// The version that the change produced is the Base of the next change, or
	// the object's own version for the latest change.
	Base uint64 `json:"base"`
	// Summary describes the change in a few words.
	Summary string `json:"summary,omitempty"`
}

// FindChange returns the change with the given id.
func FindChange(history []Change, id string) (Change, bool) {
	for _, c := range history {
		if c.ID == id {
			return c, true
		}
	}
	return Change{}, false
}

// VersionOf returns the version that a change produced. Its argument current is
// the version of the object that contains the history.
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

// HistoryOf returns the history of an object of the tree. It does not check the
// rest of the object.
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

// appendChange returns the last MaxHistory changes including c. It does not
// modify the given slice.
func appendChange(history []Change, c Change) []Change {
	firstKept := max(0, len(history)+1-MaxHistory)
	kept := make([]Change, 0, MaxHistory)
	kept = append(kept, history[firstKept:]...)
	return append(kept, c)
}

// WithChange returns the root with c recorded as its latest change.
func (r Root) WithChange(c Change) Root {
	r.ChangeID = c.ID
	r.History = appendChange(r.History, c)
	return r
}

// WithChange returns the subtree with c recorded as its latest change.
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
