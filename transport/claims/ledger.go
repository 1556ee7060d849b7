package claims

import (
	"context"
	"crypto/rand"
	"sync"
	"time"

	"github.com/figstile/figstile/coordination/claims"
	"github.com/figstile/figstile/coordination/claims/minted"
	"github.com/figstile/figstile/state"
	"github.com/figstile/figstile/state/result"
)

// secretBytes is the length of an incarnation's secret.
const secretBytes = 32

// Ledger claims keys where they belong: minted ones in this router's memory,
// callers' own on the platform. It serves while the platform is away as far as
// minted keys go.
type Ledger struct {
	host *Host
	now  func() time.Time

	mu           sync.Mutex
	mint         *minted.Mint
	issueStopped bool
}

// NewLedger returns a ledger over a host, with a secret of its own.
func NewLedger(host *Host, dc state.DataCentre) (*Ledger, error) {
	secret := make([]byte, secretBytes)
	// Read never fails: it ends the process where randomness is missing.
	_, _ = rand.Read(secret)
	mint, err := minted.New(minted.Options{
		DataCentre:  dc,
		Router:      host.opts.Router,
		Incarnation: host.opts.Incarnation,
		Secret:      secret,
	})
	if err != nil {
		return nil, err
	}
	return &Ledger{host: host, now: host.opts.Now, mint: mint}, nil
}

// Issue returns a new key of a workspace and when it expires.
func (l *Ledger) Issue(ws state.Workspace) (key string, expires time.Time, res result.Result) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.issueStopped {
		// Nobody runs the key once this router is gone.
		return "", time.Time{}, result.New(result.Draining, "")
	}
	issued, expires, res := l.mint.Issue(l.now(), ws)
	if res.Code != result.OK {
		return "", time.Time{}, res
	}
	return issued.String(), expires, res
}

// Claim asks for the right to run a request.
func (l *Ledger) Claim(ctx context.Context, req claims.Request) result.Result {
	if !minted.IsMinted(req.Key) {
		return l.host.Claim(ctx, req)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.mint.Claim(l.now(), req)
}

// Complete records what became of a claimed request. It does not block.
func (l *Ledger) Complete(req claims.Request, ran result.Ran) {
	if !minted.IsMinted(req.Key) {
		l.host.Complete(req, ran)
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.mint.Complete(req, ran)
}

// SetRouterCount says how many routers share the platform.
func (l *Ledger) SetRouterCount(routers int) { l.host.SetRouterCount(routers) }

// StopIssuing ends the issue of keys at the start of a drain. Those issued are
// run as long as the router serves.
func (l *Ledger) StopIssuing() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.issueStopped = true
}

// Close closes the host.
func (l *Ledger) Close(ctx context.Context) error { return l.host.Close(ctx) }
