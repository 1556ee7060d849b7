package minted

import (
	"errors"
	"strings"
	"time"

	"github.com/figstile/figstile/coordination/claims"
	"github.com/figstile/figstile/state"
	"github.com/figstile/figstile/state/result"
)

const (
	// Lifetime is the time within which an issued key must be used. A caller
	// fetches a key when its user starts to fill in the form that it will send.
	Lifetime = time.Hour
	// MaxKeys bounds the number of records of a router. At about 100 bytes
	// each, they take about 20 MB of the memory of a small VM.
	MaxKeys = 200_000
	// MaxPerWorkspace bounds the number of records of one workspace, so that it
	// cannot use up all of them. It allows five keys per second over the
	// lifetime.
	MaxPerWorkspace = 20_000
	// progressRetry is the retry delay sent to a caller whose request is
	// already running.
	progressRetry = 2 * time.Second
	// fullRetry is the retry delay sent to a caller that gets no key because
	// the records are used up. Some old records expire every minute.
	fullRetry = time.Minute
	// minSecretBytes is the minimum length of a secret that cannot be guessed.
	minSecretBytes = 32
)

// Errors in the options of a mint.
var (
	errInvalidName = errors.New("minted: data centre and router must have names without ':'")
	errShortSecret = errors.New("minted: the secret is too short")
)

// status is the state of a key.
type status uint8

const (
	statusIssued status = iota
	statusRunning
	statusCompleted
	statusUnknown
)

// record holds the state of a key that this incarnation has issued and not yet
// forgotten.
type record struct {
	workspace state.Workspace
	claim     state.AttemptID
	status    status
	// expiresAt is the time after which the record may be removed.
	expiresAt time.Time
}

// Options identifies an incarnation of a router.
type Options struct {
	DataCentre  state.DataCentre
	Router      state.Router
	Incarnation state.Incarnation
	// Secret is random and known only to this incarnation. A second process
	// with the same name and incarnation number has another secret and accepts
	// none of the keys.
	Secret []byte
}

// Mint issues the keys of one incarnation and decides whether their requests
// may run. It is not safe for concurrent use, does no I/O and reads no clock.
//
// A request whose key has no record is never run: the key was issued by another
// router or incarnation, or so long ago that the request may have run. Removing
// records is therefore always safe, and the bounds on memory do not weaken the
// guarantee.
type Mint struct {
	opts             Options
	sequence         uint64
	records          map[uint64]*record
	keysPerWorkspace map[state.Workspace]int
	// issued and claimed hold the sequence numbers of issued keys and of claimed
	// ones, in the order in which their records expire.
	issued, claimed []expiry
}

type expiry struct {
	sequence  uint64
	expiresAt time.Time
}

// New returns a mint without any issued keys.
func New(opts Options) (*Mint, error) {
	names := string(opts.DataCentre) + string(opts.Router)
	if opts.DataCentre == "" || opts.Router == "" || strings.Contains(names, separator) {
		return nil, errInvalidName
	}
	if len(opts.Secret) < minSecretBytes {
		return nil, errShortSecret
	}
	return &Mint{
		opts:             opts,
		records:          make(map[uint64]*record),
		keysPerWorkspace: make(map[state.Workspace]int),
	}, nil
}

// Issue returns a new key for a workspace and the time at which it expires. The
// result is OK or a refusal.
func (m *Mint) Issue(now time.Time, ws state.Workspace) (Key, time.Time, result.Result) {
	m.forgetExpired(now)
	if len(m.records) >= MaxKeys || m.keysPerWorkspace[ws] >= MaxPerWorkspace {
		refusal := result.New(result.TooManyRequests, "The router holds as many keys as it may.")
		return Key{}, time.Time{}, refusal.WithRetryAfter(fullRetry)
	}
	m.sequence++
	key := Key{
		DataCentre:  m.opts.DataCentre,
		Router:      m.opts.Router,
		Incarnation: m.opts.Incarnation,
		Sequence:    m.sequence,
	}
	key.code = key.sign(m.opts.Secret, ws)
	expiresAt := now.Add(Lifetime)
	m.records[m.sequence] = &record{workspace: ws, expiresAt: expiresAt}
	m.keysPerWorkspace[ws]++
	m.issued = append(m.issued, expiry{m.sequence, expiresAt})
	return key, expiresAt, result.New(result.OK, "")
}

// Claim returns OK if the request with the key may run now. After that it
// returns a refusal, unless Complete reports that the request did not run.
func (m *Mint) Claim(now time.Time, req claims.Request) result.Result {
	m.forgetExpired(now)
	key, err := Parse(req.Key)
	if err != nil {
		return result.New(result.BadRequest, "The idempotency key looks like an issued one but is malformed.")
	}
	if key.DataCentre != m.opts.DataCentre || key.Router != m.opts.Router {
		return result.New(result.KeyUnknown, "Only the router that issued this key runs it; send the request to "+string(key.Router)+".")
	}
	if key.Incarnation != m.opts.Incarnation || !key.signedBy(m.opts.Secret, req.Workspace) {
		return result.New(result.KeyUnknown, "The router that issued this key is gone.")
	}
	rec := m.records[key.Sequence]
	if rec == nil {
		return result.New(result.KeyUnknown, "The key has expired.")
	}
	return m.startRun(now, key.Sequence, rec, req.Attempt)
}

func (m *Mint) startRun(now time.Time, sequence uint64, rec *record, claim state.AttemptID) result.Result {
	switch rec.status {
	case statusIssued:
		rec.status = statusRunning
		rec.claim = claim
		rec.expiresAt = now.Add(claims.Retention)
		m.claimed = append(m.claimed, expiry{sequence, rec.expiresAt})
		return result.New(result.OK, "")
	case statusRunning:
		return result.New(result.KeyInProgress, "").WithRetryAfter(progressRetry)
	case statusCompleted:
		return result.New(result.KeyCompleted, "")
	default:
		return result.New(result.KeyUnknown, "")
	}
}

// Complete records the result of a claimed request. After RanNo, the request
// may be run again.
func (m *Mint) Complete(req claims.Request, ran result.Ran) {
	key, err := Parse(req.Key)
	if err != nil {
		return
	}
	rec := m.records[key.Sequence]
	if rec == nil || rec.claim != req.Attempt || rec.status != statusRunning {
		return
	}
	switch ran {
	case result.RanNo:
		rec.status = statusIssued
	case result.RanYes:
		rec.status = statusCompleted
	default:
		rec.status = statusUnknown
	}
}

// forgetExpired removes expired records. If a key was used after its record was
// queued, the record expires later and stays until its next entry in a queue.
func (m *Mint) forgetExpired(now time.Time) {
	m.issued = m.dropExpired(now, m.issued)
	m.claimed = m.dropExpired(now, m.claimed)
}

func (m *Mint) dropExpired(now time.Time, queue []expiry) []expiry {
	for len(queue) > 0 && !queue[0].expiresAt.After(now) {
		sequence := queue[0].sequence
		queue = queue[1:]
		rec := m.records[sequence]
		if rec == nil || rec.expiresAt.After(now) {
			continue
		}
		delete(m.records, sequence)
		m.keysPerWorkspace[rec.workspace]--
		if m.keysPerWorkspace[rec.workspace] == 0 {
			delete(m.keysPerWorkspace, rec.workspace)
		}
	}
	return queue
}
