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

// callerClosed says whether the caller's connection is closed, from either end, by
// what the kernel has received. net/http learns it from a read in a goroutine of its
// own; on a processor that is used up that goroutine runs too late, and of the
// requests of callers who had left two dozen were sent on within seconds. One
// look costs a system call.
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
