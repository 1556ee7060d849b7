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

// secretBytes is the length of the secret of one incarnation.
const secretBytes = 32

// Ledger claims idempotency keys. The claims of keys that this router issued
// are kept in its memory; those of keys that callers chose themselves are
// written to the platform. While the platform is unavailable, the Ledger still
// serves the issued keys.
type Ledger struct {
	host *Host
	now  func() time.Time

	mu           sync.Mutex
	mint         *minted.Mint
	issueStopped bool
}

// NewLedger returns a Ledger that passes the keys chosen by callers to the
// host. It has a new random secret for the keys that it issues.
func NewLedger(host *Host, dc state.DataCentre) (*Ledger, error) {
	secret := make([]byte, secretBytes)
	// rand.Read never returns an error; it ends the process if the system has
	// no randomness.
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

// Issue returns a new key for a workspace and the time at which it expires.
func (l *Ledger) Issue(ws state.Workspace) (key string, expires time.Time, res result.Result) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.issueStopped {
		// No router accepts the key once this router has stopped.
		return "", time.Time{}, result.New(result.Draining, "")
	}
	issued, expires, res := l.mint.Issue(l.now(), ws)
	if res.Code != result.OK {
		return "", time.Time{}, res
	}
	return issued.String(), expires, res
}

// Claim requests the right to run a request. Any result but OK is final.
func (l *Ledger) Claim(ctx context.Context, req claims.Request) result.Result {
	if !minted.IsMinted(req.Key) {
		return l.host.Claim(ctx, req)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.mint.Claim(l.now(), req)
}

// Complete records whether a claimed request ran. It does not block.
func (l *Ledger) Complete(req claims.Request, ran result.Ran) {
	if !minted.IsMinted(req.Key) {
		l.host.Complete(req, ran)
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.mint.Complete(req, ran)
}

// SetRouterCount sets the number of routers that share the platform.
func (l *Ledger) SetRouterCount(routers int) { l.host.SetRouterCount(routers) }

// StopIssuing ends the issuing of keys at the start of a drain. Requests with
// keys issued before are accepted as long as the router serves.
func (l *Ledger) StopIssuing() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.issueStopped = true
}

// Close closes the host; see Host.Close.
func (l *Ledger) Close(ctx context.Context) error { return l.host.Close(ctx) }
