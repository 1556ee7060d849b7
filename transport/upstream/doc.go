// Package upstream communicates with engines and application workers over HTTP.
// Client sends one attempt and reports reliably how far it came, and Poller
// fetches load reports.
package upstream
