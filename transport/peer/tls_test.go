package peer

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"math/big"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// newAuthority returns a configuration with a self-signed certificate that is
// its own root. It stands for a fleet's certificate authority.
func newAuthority(t *testing.T) *tls.Config {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1),
		NotBefore:    time.Unix(0, 0),
		NotAfter:     time.Date(2100, 1, 1, 0, 0, 0, 0, time.UTC),
		IPAddresses:  []net.IP{net.IPv4(127, 0, 0, 1)},
		IsCA:         true, BasicConstraintsValid: true,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	require.NoError(t, err)
	cert, err := x509.ParseCertificate(der)
	require.NoError(t, err)
	pool := x509.NewCertPool()
	pool.AddCert(cert)
	return &tls.Config{
		Certificates: []tls.Certificate{{Certificate: [][]byte{der}, PrivateKey: key}},
		RootCAs:      pool, ClientCAs: pool, ClientAuth: tls.RequireAndVerifyClientCert,
	}
}

// A process without a certificate of the fleet reaches the peer port. It must
// get no session in either direction, while routers with such a certificate
// connect as before.
func TestOnlyVerifiedPeersConnect(t *testing.T) {
	f := newFleet(t)
	ours, theirs := newAuthority(t), newAuthority(t)
	f.configure = func(o *Options) { o.TLS = ours }
	a := f.start("castro-1", 1)
	b := f.start("laredo-1", 1, a.Addr())
	f.configure = func(o *Options) { o.TLS = theirs }
	c := f.start("ramales-1", 1, a.Addr())
	f.advanceUntil(func() bool { return a.seesExactly("castro-1", "laredo-1") && b.seesExactly("castro-1", "laredo-1") })
	f.advanceUntil(func() bool { return a.Stats().Failed >= 2 && c.Stats().Failed >= 2 })
	require.True(t, c.seesExactly("ramales-1"))
	require.True(t, a.seesExactly("castro-1", "laredo-1"))

	_, err := New(Options{Self: a.opts.Self, Handler: a.opts.Handler, OnPeers: a.opts.OnPeers, TLS: &tls.Config{}})
	var option *OptionError
	require.ErrorAs(t, err, &option, "TLS without client verification must be rejected")
}
