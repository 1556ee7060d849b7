package edge

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/figstile/figstile/state/routing"
	"github.com/figstile/figstile/transport/ingress"
	"github.com/figstile/figstile/transport/logging"
)

// signedPlatform accepts every answer as an upstream's own.
type signedPlatform struct{ *fakePlatform }

func (signedPlatform) Answer(int, http.Header) ingress.AnswerHead {
	return ingress.AnswerHead{Signed: true}
}

// runRouter runs a whole router with one engine and a route for streams below
// /a/, until the test ends or stop is called. stop returns once the router has
// stopped, within the grace period.
func runRouter(tb testing.TB, engine string, slots int, grace time.Duration) (router *Router, stop func()) {
	tb.Helper()
	return runRouterWithFiles(tb, engine, slots, grace, testMaxFiles)
}

// testMaxFiles is a number of descriptors that no test exceeds.
const testMaxFiles = 10000

// runRouterWithFiles is runRouter for a process that may open at most maxFiles
// descriptors.
func runRouterWithFiles(tb testing.TB, engine string, slots int, grace time.Duration, maxFiles int) (router *Router, stop func()) {
	tb.Helper()
	spec, err := json.Marshal(routing.Config{
		Version:  1,
		Routes:   []routing.Route{{Name: "r", Host: "h", Prefix: "/a/", Kind: routing.Stream, Backends: []routing.Backend{{Service: "s", Weight: 1}}, MaxAttempts: 1, Public: true}},
		Services: []routing.Service{{Name: "s", Engine: &routing.Engine{Slots: slots, CacheTokens: 1000}}},
	})
	require.NoError(tb, err)
	upstream := fmt.Appendf(nil, `{"Service":"s","Address":%q,"DataCentre":"dc","Slots":%d}`, engine, slots)
	platform := signedPlatform{&fakePlatform{}}
	platform.list = func(kind Kind) ([]Object, uint64, error) {
		if kind == KindConfig {
			return []Object{{Name: "main", Revision: 1, Spec: spec}}, 1, nil
		}
		return []Object{{Name: "u", Revision: 1, Spec: upstream}}, 1, nil
	}
	platform.watch = func(Kind, uint64) ([]Object, uint64, error) { return nil, 1, nil }
	router, err = New(Settings{
		Router: "r1", DataCentre: "dc", MaxFiles: maxFiles, GracePeriod: grace,
		Addresses: Addresses{Callers: "127.0.0.1:0", Ready: "127.0.0.1:0", Peers: "127.0.0.1:0"},
	}, platform, logging.New(logging.NewAsyncWriter(io.Discard), "info"))
	require.NoError(tb, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := router.Run(ctx); err != nil {
			tb.Errorf("router: %v", err)
		}
	}()
	stop = func() {
		cancel()
		<-done
	}
	tb.Cleanup(stop)
	require.Eventually(tb, router.dispatcher.ready, 5*time.Second, 10*time.Millisecond)
	return router, stop
}
