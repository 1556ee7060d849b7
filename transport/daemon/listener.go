package daemon

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/figstile/figstile/transport/caller"
	"github.com/figstile/figstile/transport/conntrack"
)

// listener is one HTTP server with its open socket.
type listener struct {
	net.Listener
	server *http.Server
	conns  *conntrack.Tracker
}

// buildServer builds the server on the open socket, whose connections it tracks.
func (l *listener) buildServer(handler http.Handler, limits caller.ServerOptions) {
	l.conns = conntrack.New(time.Now)
	l.server = caller.NewServer(handler, limits)
	l.server.BaseContext = l.conns.BaseContext
	l.server.ConnState = l.conns.StateChanged
	l.Listener = l.conns.Listener(l.Listener)
}

// run serves until the listener or the server is closed.
func (l *listener) run(options Options) error {
	tlsConfig, err := options.callerTLS()
	if err != nil {
		return err
	}
	if tlsConfig == nil {
		err = l.server.Serve(l.Listener)
	} else {
		l.server.TLSConfig = tlsConfig
		err = l.server.ServeTLS(l.Listener, "", "")
	}
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// drain takes no more connections, answers what arrives on the open ones until
// no request is under way, and closes them. Requests that have not ended in time
// are cut off, and their handlers get some more to answer.
func (l *listener) drain(finishCtx, answersCtx context.Context) error {
	_ = l.Close()
	if l.closeConns(finishCtx) == nil {
		return nil
	}
	l.conns.CancelRequests()
	return l.closeConns(answersCtx)
}

// closeConns closes the connections once no request is under way. Shutdown alone
// would close a connection whose next request it has read, without an answer; it
// is left with the connections of HTTP/2, whose callers it tells what it has not
// taken.
func (l *listener) closeConns(ctx context.Context) error {
	if !l.conns.Drain(func() bool { return ctx.Err() != nil }) {
		return context.Cause(ctx)
	}
	return l.server.Shutdown(ctx)
}

// closeWhileDraining asks those who get an answer from a draining router to close their
// connection: one on which request follows request would hold the stop up.
func (d *Daemon) closeWhileDraining(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if d.draining.Load() {
			w.Header().Set("Connection", "close")
		}
		handler.ServeHTTP(w, r)
	})
}
