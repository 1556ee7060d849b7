package fairness

import "time"

const (
	// minWorkspaceShare keeps a workspace without a share in the settings at the
	// end of the line instead of dividing by zero.
	minWorkspaceShare = 1e-6
	// minOwnShare bounds the extrapolation of an owner of next to nothing.
	minOwnShare = 1e-4
	// idleGrace is how long a workspace may seem to have nothing waiting
	// without losing its place. An owner that has granted all the demand it
	// knew of sees a workspace as idle until the next report of demand; the
	// grace is twice the period of those.
	idleGrace = 500 * time.Millisecond
	// clampWindow is how long the workspace furthest ahead waits at most
	// while others catch up. It is many times the longest usual request, so
	// that it never touches the differences of normal service, and within
	// the patience of a caller who drafts a guide.
	clampWindow = time.Minute
	// rateSmoothing averages the rate of service over some ten exchanges.
	rateSmoothing = 0.1
	// maxRemovedOrigins bounds the remembered incarnations that are gone: a fleet of a
	// few hundred routers may be replaced once over.
	maxRemovedOrigins = 512
)
