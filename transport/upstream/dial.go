package upstream

import (
	"context"
	"net"
	"net/http"
)

func dialTCP(ctx context.Context, network, address string) (net.Conn, error) {
	return (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, network, address)
}

func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
