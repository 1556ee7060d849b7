package e2e

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"io"
	"math/big"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// authority is the certificate authority of one test.
type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	pem  string
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := certificateTemplate("authority")
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	require.NoError(t, err)
	cert, err := x509.ParseCertificate(der)
	require.NoError(t, err)
	return &authority{cert: cert, key: key, pem: encodePEM("CERTIFICATE", der)}
}

func certificateTemplate(name string) *x509.Certificate {
	return &x509.Certificate{
		SerialNumber: big.NewInt(1),
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    time.Now().Add(-time.Hour),
		NotAfter:     time.Now().Add(24 * time.Hour),
	}
}

// issue returns a certificate and its key in PEM.
func (a *authority) issue(t *testing.T, name string) (string, string) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := certificateTemplate(name)
	template.DNSNames = []string{name}
	template.IPAddresses = []net.IP{net.IPv4(127, 0, 0, 1)}
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, key.Public(), a.key)
	require.NoError(t, err)
	encoded, err := x509.MarshalECPrivateKey(key)
	require.NoError(t, err)
	return encodePEM("CERTIFICATE", der), encodePEM("EC PRIVATE KEY", encoded)
}

func encodePEM(kind string, der []byte) string {
	return string(pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}))
}

// certificateEnv returns the environment variables that give a router
// certificates of an authority.
func certificateEnv(t *testing.T, a *authority) []string {
	cert, key := a.issue(t, "figstile")
	return []string{
		"FIGSTILE_PEER_CERT=" + cert, "FIGSTILE_PEER_KEY=" + key, "FIGSTILE_PEER_CA=" + a.pem,
		"FIGSTILE_TLS_CERT=" + cert, "FIGSTILE_TLS_KEY=" + key,
	}
}

// Routers without a certificate of the fleet's authority connect to the peer
// port. They could grant slots and rewrite settings, so they must not become
// peers, while routers with certificates do. Callers are served over TLS, and
// logs contain no private key.
func TestUntrustedRoutersDoNotBecomePeers(t *testing.T) {
	f := newFleet(t)
	f.addTeam("costa", 1, "laredo")
	f.writeRoot()
	fleetAuthority, untrustedAuthority := newAuthority(t), newAuthority(t)
	f.extraEnv = certificateEnv(t, fleetAuthority)
	first := f.startRouter("router-1", "sala-laredo")
	second := f.startRouter("router-2", "sala-castro")
	f.extraEnv = certificateEnv(t, untrustedAuthority)
	untrusted := f.startRouter("stranger", "sala-castro")
	f.extraEnv = nil
	withoutTLS := f.startRouter("plain", "sala-castro")

	eventually(t, "the two routers see each other", func() bool {
		return strings.Contains(first.lines.text(), "peer session opened") && strings.Contains(second.lines.text(), "peer session opened")
	})
	eventually(t, "the untrusted routers were rejected", func() bool {
		return strings.Count(first.lines.text()+second.lines.text(), "handshake") >= 2
	})
	for _, r := range []*router{untrusted, withoutTLS} {
		require.NotContains(t, r.lines.text(), "peer session opened")
	}
	for _, r := range []*router{first, second, untrusted} {
		require.NotContains(t, r.lines.text(), "PRIVATE KEY")
	}

	pool := x509.NewCertPool()
	require.True(t, pool.AppendCertsFromPEM([]byte(fleetAuthority.pem)))
	client := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool}}}
	resp, err := client.Get("https://" + first.callerAddress + "/kiosco-web/page")
	require.NoError(t, err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.Equal(t, http.StatusUnauthorized, resp.StatusCode, string(body))
}
