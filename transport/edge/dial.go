package edge

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/figstile/figstile/transport/ingress"
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
	// upstreamReceiveBuffer is the size in bytes that is asked for the receive
	// buffer of a connection to an upstream. The kernel doubles it. An answer that
	// is relayed more slowly than it is sent fills it.
	upstreamReceiveBuffer = ingress.ReceiveBufferBytes / 2
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

// newUpstreamDialer returns a dialer for connections to upstreams, whose receive
// buffers do not grow.
func newUpstreamDialer() *net.Dialer {
	dialer := NewDialer()
	dialer.Control = func(network, address string, raw syscall.RawConn) error {
		return errors.Join(setUserTimeout(network, address, raw), setReceiveBuffer(raw))
	}
	return dialer
}

func setReceiveBuffer(raw syscall.RawConn) error {
	return setSocketOption(raw, unix.SOL_SOCKET, unix.SO_RCVBUF, upstreamReceiveBuffer)
}

// setUserTimeout limits how long sent bytes may stay unacknowledged. Without it
// the kernel retransmits them for a quarter of an hour.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	return setSocketOption(raw, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
}

func setSocketOption(raw syscall.RawConn, level, option, value int) error {
	var sockoptErr error
	err := raw.Control(func(fd uintptr) { sockoptErr = unix.SetsockoptInt(int(fd), level, option, value) })
	if err != nil {
		return err
	}
	return sockoptErr
}
