package fairness

import "time"

const (
	// minWorkspaceShare is the share of a workspace that has none in the
	// settings. It avoids a division by zero and puts the workspace behind all
	// others.
	minWorkspaceShare = 1e-6
	// minOwnShare bounds the extrapolation of an owner that owns almost no
	// slots.
	minOwnShare = 1e-4
	// idleGrace is the time for which a workspace may seem to have no waiting
	// requests without being lifted when it returns. An owner that has granted
	// all the demand it knew of sees a workspace as idle until it receives the
	// next demand message. The grace is twice the interval of those messages.
	idleGrace = 500 * time.Millisecond
	// clampWindow is the maximum time for which the workspace that is furthest
	// ahead waits while others catch up. It is many times the duration of the
	// longest usual request, so that it does not affect the differences of
	// normal service, and short enough for callers that wait for a generated
	// text.
	clampWindow = time.Minute
	// rateSmoothing is the weight of the newest period in the service rate,
	// which averages over about ten exchanges.
	rateSmoothing = 0.1
	// maxRemovedOrigins bounds the number of stored incarnations that are no
	// longer live. A fleet of a few hundred routers may be replaced once within
	// it.
	maxRemovedOrigins = 512
)
