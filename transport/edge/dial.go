package edge

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// dialTimeout limits the time to open a connection. Upstreams, peers and
	// the store are a few milliseconds away. A lost SYN packet is sent again
	// after a second, which is too late for most requests.
	dialTimeout = 700 * time.Millisecond
	// unackedTimeout is how long a peer's machine may leave data unacknowledged
	// before the connection is closed: a VM that lost power or is behind a
	// partition sends no reset. The kernel of a machine with a busy process
	// still acknowledges, so slow answers are not affected.
	unackedTimeout = 3 * time.Second
	// keepAliveInterval is the time between two TCP keep-alive probes.
	keepAliveInterval = time.Second
)

type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// NewDialer returns a dialer whose connections fail soon after the remote
// machine becomes unreachable.
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

// setUserTimeout limits how long sent bytes may stay unacknowledged. Without it
// the kernel retransmits them for a quarter of an hour.
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
