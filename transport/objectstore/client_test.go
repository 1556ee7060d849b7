package objectstore_test

import (
	"net/http/httptest"
	"testing"

	"github.com/figstile/figstile/standin/platform"
	"github.com/figstile/figstile/transport/objectstore"
	"github.com/figstile/figstile/transport/objectstore/objectstoretest"
)

// startPlatform starts a stand-in platform and returns it with a client.
func startPlatform(t *testing.T, opts platform.Options) (*platform.Platform, *objectstore.Client) {
	t.Helper()
	p := platform.New(opts)
	server := httptest.NewServer(p.Handler())
	t.Cleanup(server.Close)
	return p, objectstore.NewClient(objectstore.ClientOptions{BaseURL: server.URL})
}

func TestClientConforms(t *testing.T) {
	objectstoretest.Run(t, func(t *testing.T) objectstore.Store {
		_, client := startPlatform(t, platform.Options{})
		return client
	})
}
