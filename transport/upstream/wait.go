package upstream

import (
	"context"
	"net"
	"net/http"
	"time"
)

func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

func plainDial(ctx context.Context, network, address string) (net.Conn, error) {
	return (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, network, address)
}

func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
