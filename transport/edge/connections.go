package edge

import (
	"net"
	"net/http"
	"sync/atomic"
)

// crowdedShare is the part of the process's descriptors that callers'
// connections may take before answers ask to close them. Callers that leave
// connections idle filled all 4,100 descriptors of a router at 500 requests a
// second; new callers then waited for their opening packet to be sent again.
// The rest is for connections to upstreams, one for each running request.
const crowdedShare = 0.25

// connections counts the open connections of callers.
type connections struct {
	open atomic.Int64
	// most is the number from which there are too many; 0 if not limited.
	most float64
}

// changed is the server's hook on the state of connections.
func (c *connections) changed(_ net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		c.open.Add(1)
	case http.StateClosed, http.StateHijacked:
		c.open.Add(-1)
	}
}

func (c *connections) crowded() bool {
	return c.most > 0 && float64(c.open.Load()) > c.most
}
