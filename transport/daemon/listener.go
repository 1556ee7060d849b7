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

// listener is an HTTP server with its open socket.
type listener struct {
	net.Listener
	server *http.Server
	conns  *conntrack.Tracker
}

// buildServer builds the server for the open socket and tracks its connections.
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

// drain closes the listener, answers requests on open connections until none is
// in progress, and closes the connections. Requests that have not ended when
// finishCtx ends are cancelled; their handlers may then answer until answersCtx
// ends.
func (l *listener) drain(finishCtx, answersCtx context.Context) error {
	_ = l.Close()
	if l.closeConns(finishCtx) == nil {
		return nil
	}
	l.conns.CancelRequests()
	return l.closeConns(answersCtx)
}

// closeConns closes the connections once no request is in progress. Shutdown
// alone would close a connection whose next request it has already read,
// without an answer. It is used only for the remaining HTTP/2 connections, on
// which it informs the caller which requests were not accepted.
func (l *listener) closeConns(ctx context.Context) error {
	if !l.conns.Drain(func() bool { return ctx.Err() != nil }) {
		return context.Cause(ctx)
	}
	return l.server.Shutdown(ctx)
}

// closeWhileDraining asks callers to close their connection after an answer
// while the router drains. A connection with one request after the other would
// otherwise delay the stop.
func (d *Daemon) closeWhileDraining(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if d.draining.Load() {
			w.Header().Set("Connection", "close")
		}
		handler.ServeHTTP(w, r)
	})
}
