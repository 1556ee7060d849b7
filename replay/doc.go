// Package replay feeds recorded traces to today's deciders and checks the
// stated outcomes over the merged records of routers, callers and upstreams.
package replay
