// Package admission decides, as a request arrives, whether it is sent to an
// upstream now or refused now with a time to come back. It holds no queue:
// upstreams queue in order of arrival, so a request that waits here would only
// come later there, and one that cannot be served in time takes capacity from
// those that can.
//
// The load it is made for is a fleet that is asked for more than it can do for
// seconds, by bursts or by one workspace that sends many times its usual. The
// harm it prevents: every request waits behind all others and all are late.
// No I/O and no clock of its own.
package admission
