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
	// Lifetime is how long an unused key may be run. A caller fetches one
	// when its user starts to fill in a booking.
	Lifetime = time.Hour
	// MaxKeys bounds the records of a router: at about a hundred bytes each
	// they hold some 20 MB of a small VM.
	MaxKeys = 200_000
	// MaxPerWorkspace keeps one workspace from using up all records. It
	// allows five keys a second over the lifetime.
	MaxPerWorkspace = 20_000
	// progressRetry is when a caller may ask after a running request again.
	progressRetry = 2 * time.Second
	// fullRetry is when a caller may ask for a key again where records ran
	// out: old ones expire by the minute.
	fullRetry = time.Minute
	// minSecretBytes of a secret withstand guessing.
	minSecretBytes = 32
)

// Faults of a mint's options.
var (
	errInvalidName = errors.New("minted: data centre and router must be named without ':'")
	errShortSecret = errors.New("minted: the secret is too short")
)

// status is where a key stands.
type status uint8

const (
	statusIssued status = iota
	statusRunning
	statusCompleted
	statusUnknown
)

// record is a key that this incarnation still knows.
type record struct {
	workspace state.Workspace
	claim     state.AttemptID
	status    status
	// expiresAt is when the record may be forgotten.
	expiresAt time.Time
}

// Options name an incarnation of a router.
type Options struct {
	DataCentre  state.DataCentre
	Router      state.Router
	Incarnation state.Incarnation
	// Secret is random and known to this incarnation only. A second process
	// under the same name and number has another, and runs none of the keys.
	Secret []byte
}

// Mint issues and runs the keys of one incarnation. It is not safe for
// concurrent use, does no I/O and reads no clock.
//
// A key without a record is never run: it was issued by somebody else, or so
// long ago that it may have run. So forgetting is always safe, and the bounds
// on memory cost no promise.
type Mint struct {
	opts             Options
	sequence         uint64
	records          map[uint64]*record
	keysPerWorkspace map[state.Workspace]int
	// issued and used hold sequences in the order in which they expire.
	issued, used []expiry
}

type expiry struct {
	sequence  uint64
	expiresAt time.Time
}

// New returns a mint.
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

// Issue returns a new key of a workspace and when it expires. The result is OK
// or a refusal.
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

// Claim returns OK if the request may run now, once.
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
		m.used = append(m.used, expiry{sequence, rec.expiresAt})
		return result.New(result.OK, "")
	case statusRunning:
		return result.New(result.KeyInProgress, "").WithRetryAfter(progressRetry)
	case statusCompleted:
		return result.New(result.KeyCompleted, "")
	default:
		return result.New(result.KeyUnknown, "")
	}
}

// Complete records what became of a claimed request: RanNo lets the key run
// again.
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

// forgetExpired drops records whose time has come. A record that was used since it
// was queued has a later time and stays for its next place in the queue.
func (m *Mint) forgetExpired(now time.Time) {
	m.issued = m.dropExpired(now, m.issued)
	m.used = m.dropExpired(now, m.used)
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
