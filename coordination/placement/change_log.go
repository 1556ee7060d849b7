package placement

// maxLoggedChanges limits the changes that a changeLog holds.
const maxLoggedChanges = 4096

// changeLog lists the upstreams whose load has changed, in the order of the
// changes, so that readers need not look at all upstreams of a large fleet. The
// zero value is an empty log.
type changeLog struct {
	hosts []*host
	// dropped is the number of changes that the log no longer holds.
	dropped uint64
}

// add records that the load of any router at an upstream changed.
func (l *changeLog) add(h *host) {
	if len(l.hosts) >= maxLoggedChanges {
		half := len(l.hosts) / 2
		l.dropped += uint64(half)
		l.hosts = append(l.hosts[:0], l.hosts[half:]...)
	}
	l.hosts = append(l.hosts, h)
}

// count returns the number of changes so far.
func (l *changeLog) count() uint64 { return l.dropped + uint64(len(l.hosts)) }

// since returns the upstreams that changed after the first count changes, some
// of them several times. It returns false if the log does not reach back so far.
func (l *changeLog) since(count uint64) ([]*host, bool) {
	if count < l.dropped {
		return nil, false
	}
	return l.hosts[count-l.dropped:], true
}
