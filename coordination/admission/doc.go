// Package admission decides, when a request arrives, whether it is sent to an
// upstream immediately or refused with a time after which its caller should
// retry. It holds no queue: upstreams serve requests in order of arrival, so a
// request queued here would only join the upstream's queue later, and a request
// that cannot be answered in time takes capacity from requests that can.
//
// It is designed for a fleet that is overloaded for seconds at a time, by
// bursts or by one workspace that sends many times its usual load. Without
// admission control every request would wait behind all others, and all of them
// would be late. The package does no I/O and takes the time as an argument.
package admission
