package edge

import (
	"net"
	"time"

	"golang.org/x/time/rate"

	"github.com/figstile/figstile/coordination/workload"
)

const (
	// refusalShare is the part of the processor share that refusals for want of
	// room may take. Beyond it connections are closed unread.
	refusalShare = 0.25
	// refusalBurst is the time whose refusals may come together.
	refusalBurst = 200 * time.Millisecond
)

// refusals bounds the processor time that a router spends on refusals.
type refusals struct {
	now  func() time.Time
	work *workload.Estimate
	// left is what may still be refused; nil if the processor share is not
	// known.
	left *rate.Limiter
}

func newRefusals(work *workload.Estimate, now func() time.Time) *refusals {
	r := &refusals{now: now, work: work}
	if perSecond := work.RefusalRate(refusalShare); perSecond > 0 {
		r.left = rate.NewLimiter(rate.Limit(perSecond), max(int(perSecond*refusalBurst.Seconds()), 1))
	}
	return r
}

// count counts a request that is refused for want of room.
func (r *refusals) count() {
	r.work.Refusal()
	if r.left != nil {
		r.left.AllowN(r.now(), 1)
	}
}

// spent says whether refusals have taken their part.
func (r *refusals) spent() bool { return r.left != nil && r.left.TokensAt(r.now()) < 1 }

// sheds says whether a new connection is to be closed unread: the router has no
// room for its request, nor the time to say so.
func (p *pressure) sheds() bool {
	if p.arrivals.estimate() <= shedLag && (!p.refusals.spent() || !p.full()) {
		return false
	}
	p.work.Shed()
	return true
}

// shedder closes connections whose requests could not even be refused in time.
// Their callers know at once that nothing was taken, and reach another router.
type shedder struct {
	net.Listener
	pressure *pressure
}

// Accept implements net.Listener.
func (s shedder) Accept() (net.Conn, error) {
	for {
		conn, err := s.Listener.Accept()
		if err != nil || !s.pressure.sheds() {
			return conn, err
		}
		_ = conn.Close()
	}
}
