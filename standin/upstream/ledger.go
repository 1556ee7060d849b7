package upstream

import (
	"crypto/sha256"
	"encoding/hex"
	"sync"
	"time"
)

// Outcome is the state or the end of a received request.
type Outcome string

// The outcomes of requests.
const (
	// Waiting means that the request was received and has not started.
	Waiting Outcome = "waiting"
	// Running means that the request has started and not ended.
	Running Outcome = "running"
	// Finished means that the complete answer was written.
	Finished Outcome = "finished"
	// Cancelled means that the caller left before the end.
	Cancelled Outcome = "cancelled"
	// Crashed means that the upstream crashed before the request ended.
	Crashed Outcome = "crashed"
	// Truncated means that the answer was cut off by Faults.TruncateAnswers.
	Truncated Outcome = "truncated"
	// Rejected means that the request was answered with an error and never
	// started.
	Rejected Outcome = "refused"
)

// Entry records one received request.
type Entry struct {
	Attempt        string `json:"attempt,omitempty"`
	IdempotencyKey string `json:"idempotency_key,omitempty"`
	// Digest is the SHA-256 of the body in hexadecimal.
	Digest string `json:"digest"`
	Boot   string `json:"boot"`
	// WhileDraining is set if the upstream was draining when it received the
	// request.
	WhileDraining bool      `json:"while_draining,omitempty"`
	Received      time.Time `json:"received"`
	Started       time.Time `json:"started,omitzero"`
	Ended         time.Time `json:"ended,omitzero"`
	Outcome       Outcome   `json:"outcome"`
	// Units is the number of tokens that an engine generated, or the busy time
	// of a worker in milliseconds.
	Units int `json:"units"`
}

// Digest returns the value of Entry.Digest for a body.
func Digest(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}

// Ledger records every request that an upstream receives, across its restarts.
type Ledger struct {
	mu      sync.Mutex
	entries []Entry
}

// Entries returns a copy of the entries in order of receipt.
func (l *Ledger) Entries() []Entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Entry{}, l.entries...)
}

// StartedCount returns how many requests with an idempotency key started to
// run.
func (l *Ledger) StartedCount(idempotencyKey string) int {
	count := 0
	for _, e := range l.Entries() {
		if e.IdempotencyKey == idempotencyKey && !e.Started.IsZero() {
			count++
		}
	}
	return count
}

// add appends an entry and returns its index.
func (l *Ledger) add(e Entry) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entries = append(l.entries, e)
	return len(l.entries) - 1
}

func (l *Ledger) update(index int, change func(*Entry)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change(&l.entries[index])
}

// entry returns a copy of the entry at an index.
func (l *Ledger) entry(index int) Entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.entries[index]
}
