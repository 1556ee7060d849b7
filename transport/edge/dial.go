package edge

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// dialTimeout bounds making a connection. Upstreams, peers and the store
	// are a few milliseconds away; a lost opening packet is sent again after
	// a second, which is too late for most requests.
	dialTimeout = 700 * time.Millisecond
	// unackedTimeout is how long a peer's machine may acknowledge nothing before
	// the connection is given up: a VM that lost power or is behind a
	// partition sends no reset. A busy process still acknowledges, so this
	// ends no answer that is only slow.
	unackedTimeout = 3 * time.Second
	// keepAliveInterval is the pause between keep-alive probes.
	keepAliveInterval = time.Second
)

type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// NewDialer returns a dialer whose connections notice a machine that is gone.
func NewDialer() *net.Dialer {
	return &net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     keepAliveInterval,
			Interval: keepAliveInterval,
			Count:    int(unackedTimeout / keepAliveInterval),
		},
		Control: setUserTimeout,
	}
}

// setUserTimeout bounds how long sent bytes may stay unacknowledged; without
// it they are sent again for a quarter of an hour.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var sockoptErr error
	err := raw.Control(func(fd uintptr) {
		sockoptErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return sockoptErr
}
