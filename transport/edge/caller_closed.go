package edge

import (
	"context"
	"net"
	"net/http"
	"syscall"

	"golang.org/x/sys/unix"

	"github.com/figstile/figstile/transport/conntrack"
)

// connKey is the context key of a caller's connection.
type connKey struct{}

func withConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// callerClosed reports whether the caller's connection is closed at either end,
// according to the data that the kernel has received. net/http detects a close
// with a read in its own goroutine, which runs too late if the CPU is fully
// used: about two dozen requests of disconnected callers were sent to upstreams
// within seconds. One check costs a system call.
func callerClosed(r *http.Request) bool {
	conn, ok := r.Context().Value(connKey{}).(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return false
	}
	n, recvErr, closedErr := conntrack.Peek(raw)
	return closedErr != nil || recvErr == nil && n == 0 || recvErr == unix.ECONNRESET
}
