// Package replay replays recorded traces through the current scheduler and
// compares its decisions with the recorded ones. It also checks the stated
// outcomes over the merged records of routers, callers and upstreams. A stated
// outcome is a property that must hold in every run; package outcome defines
// them.
package replay
