package caller

import (
	"net"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestConnectionsAreBounded guards against running out of file descriptors when
// callers open connections faster than they close them.
func TestConnectionsAreBounded(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	listener := LimitListener(inner, ServerOptions{MaxConnections: 1})
	accepted := make(chan net.Conn)
	ended := make(chan error)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				ended <- err
				return
			}
			accepted <- conn
		}
	}()
	for range 2 {
		conn, err := net.Dial("tcp", inner.Addr().String())
		require.NoError(t, err)
		defer conn.Close()
	}
	first := <-accepted
	select {
	case <-accepted:
		t.Fatal("a second connection was accepted")
	default:
	}
	require.NoError(t, first.Close())
	_ = first.Close()
	<-accepted
	require.NoError(t, listener.Close())
	require.ErrorIs(t, <-ended, net.ErrClosed)
}

// TestMemoryIsBounded guards against a small VM that runs out of memory while
// many callers send large bodies at once.
func TestMemoryIsBounded(t *testing.T) {
	b := newBudget(2, 100)
	first, ok := b.acquire()
	require.True(t, ok)
	second, ok := b.acquire()
	require.True(t, ok)
	_, ok = b.acquire()
	require.False(t, ok)
	require.True(t, first.grow(80))
	require.False(t, second.grow(30))
	first.shrink(50)
	require.True(t, second.grow(30))
	first.release()
	second.release()
	require.Equal(t, newBudget(2, 100).freeBytes, b.freeBytes)
	require.Equal(t, 2, b.freeRequests)
}
