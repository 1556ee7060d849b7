package daemon

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"net"
	"net/url"
	"regexp"
	"time"

	"github.com/figstile/figstile/state"
)

// Secrets are read from the environment only, because other users of the
// machine could read flags from the process list. Certificates and keys are in
// PEM format.
type Secrets struct {
	// PlatformToken authenticates the router to the platform, FleetToken to
	// other routers when it reads their status.
	PlatformToken string
	FleetToken    string
	// BootstrapToken is the token of an operator that is valid until the first
	// settings are in force.
	BootstrapToken string
	// TLSCert and TLSKey are used for connections from callers and operators.
	TLSCert string
	TLSKey  string
	// PeerCert and PeerKey are used for links to other routers, whose
	// certificates must be signed by PeerCA.
	PeerCert string
	PeerKey  string
	PeerCA   string
}

// SecretsFrom reads the secrets from an environment.
func SecretsFrom(getenv func(string) string) Secrets {
	return Secrets{
		PlatformToken:  getenv("FIGSTILE_PLATFORM_TOKEN"),
		FleetToken:     getenv("FIGSTILE_FLEET_TOKEN"),
		BootstrapToken: getenv("FIGSTILE_BOOTSTRAP_TOKEN"),
		TLSCert:        getenv("FIGSTILE_TLS_CERT"),
		TLSKey:         getenv("FIGSTILE_TLS_KEY"),
		PeerCert:       getenv("FIGSTILE_PEER_CERT"),
		PeerKey:        getenv("FIGSTILE_PEER_KEY"),
		PeerCA:         getenv("FIGSTILE_PEER_CA"),
	}
}

// Options are the start-up settings of a process, from flags and the
// environment. They do not change while it runs. The help text of each field
// describes it.
type Options struct {
	Router     string `help:"Name of this router, unique in the fleet." env:"FIGSTILE_ROUTER" required:""`
	DataCentre string `help:"Data centre this VM stands in." env:"FIGSTILE_DATA_CENTRE" required:""`
	Fleet      string `help:"Name of the fleet; routers of other fleets are refused." env:"FIGSTILE_FLEET" default:"figstile"`

	Listen      string `help:"Address for callers." env:"FIGSTILE_LISTEN" default:"127.0.0.1:8080"`
	AdminListen string `help:"Address for operators, health and metrics." env:"FIGSTILE_ADMIN_LISTEN" default:"127.0.0.1:8081"`
	PeerListen  string `help:"Address for other routers." env:"FIGSTILE_PEER_LISTEN" default:"127.0.0.1:8082"`

	AdvertisePeer  string `help:"Peer address as other routers reach it; default is the listening one." env:"FIGSTILE_ADVERTISE_PEER"`
	AdvertiseAdmin string `help:"Administration address as other routers reach it; default is the listening one." env:"FIGSTILE_ADVERTISE_ADMIN"`

	Peers    []string `help:"Peer addresses to join through; one that lives is enough." env:"FIGSTILE_PEERS"`
	Platform string   `help:"Base URL of the platform's object API." env:"FIGSTILE_PLATFORM" required:""`

	Secrets `kong:"-" json:"-"`

	MaxConnections int           `help:"Connections from callers held at once." env:"FIGSTILE_MAX_CONNECTIONS" default:"20000"`
	MaxHeaderBytes int           `help:"Bytes of one request's headers." env:"FIGSTILE_MAX_HEADER_BYTES" default:"32768"`
	MaxQueued      int           `help:"Requests held at once, waiting or running." env:"FIGSTILE_MAX_QUEUED" default:"50000"`
	MaxQueuedBytes int64         `help:"Bytes of bodies held at once." env:"FIGSTILE_MAX_QUEUED_BYTES" default:"268435456"`
	DrainTimeout   time.Duration `help:"How long a stop may take; 0 waits for the last request." env:"FIGSTILE_DRAIN_TIMEOUT" default:"0"`

	// DialPeer opens connections to peers; nil means plain TCP. Tests use it to
	// simulate failing links.
	DialPeer func(ctx context.Context, address string) (net.Conn, error) `kong:"-" json:"-"`

	LogLevel string `help:"Least level that is logged." env:"FIGSTILE_LOG_LEVEL" enum:"debug,info,warn,error" default:"info"`
	TraceDir string `help:"Directory for recorded decisions; empty records nothing." env:"FIGSTILE_TRACE_DIR"`
}

// namePattern matches names that are safe in headers, metrics and object keys.
var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$`)

// Check returns all errors in the options, joined, or nil.
func (o *Options) Check() error {
	faults := []error{
		checkName("router", o.Router),
		checkName("data-centre", o.DataCentre),
		checkName("fleet", o.Fleet),
		checkAddress("listen", o.Listen),
		checkAddress("admin-listen", o.AdminListen),
		checkAddress("peer-listen", o.PeerListen),
		checkURL("platform", o.Platform),
		checkPair("FIGSTILE_TLS_CERT", o.TLSCert, "FIGSTILE_TLS_KEY", o.TLSKey),
		checkPair("FIGSTILE_PEER_CERT", o.PeerCert, "FIGSTILE_PEER_KEY", o.PeerKey),
		checkPair("FIGSTILE_PEER_CERT", o.PeerCert, "FIGSTILE_PEER_CA", o.PeerCA),
		checkPositive("max-connections", int64(o.MaxConnections)),
		checkPositive("max-header-bytes", int64(o.MaxHeaderBytes)),
		checkPositive("max-queued", int64(o.MaxQueued)),
		checkPositive("max-queued-bytes", o.MaxQueuedBytes),
	}
	for _, peer := range o.Peers {
		faults = append(faults, checkAddress("peers", peer))
	}
	if o.DrainTimeout < 0 {
		faults = append(faults, fmt.Errorf("drain-timeout: %s is negative", o.DrainTimeout))
	}
	if _, err := o.callerTLS(); err != nil {
		faults = append(faults, err)
	}
	if _, err := o.peerTLS(); err != nil {
		faults = append(faults, err)
	}
	return errors.Join(faults...)
}

func checkName(flag, value string) error {
	if namePattern.MatchString(value) {
		return nil
	}
	return fmt.Errorf("%s: %q must be 1 to 63 lower-case letters, digits, dots or hyphens", flag, value)
}

func checkAddress(flag, value string) error {
	if _, _, err := net.SplitHostPort(value); err != nil {
		return fmt.Errorf("%s: %w", flag, err)
	}
	return nil
}

func checkURL(flag, value string) error {
	u, err := url.Parse(value)
	if err != nil {
		return fmt.Errorf("%s: %w", flag, err)
	}
	if u.Host == "" || u.Scheme != "http" && u.Scheme != "https" {
		return fmt.Errorf("%s: %q is not an http or https URL", flag, value)
	}
	return nil
}

func checkPair(firstName, first, secondName, second string) error {
	if (first == "") == (second == "") {
		return nil
	}
	return fmt.Errorf("%s and %s must be set together", firstName, secondName)
}

func checkPositive(flag string, value int64) error {
	if value > 0 {
		return nil
	}
	return fmt.Errorf("%s: %d must be greater than 0", flag, value)
}

// callerTLS returns the TLS configuration for callers and operators, or nil if
// there is no certificate.
func (o *Options) callerTLS() (*tls.Config, error) {
	if o.TLSCert == "" || o.TLSKey == "" {
		return nil, nil
	}
	pair, err := tls.X509KeyPair([]byte(o.TLSCert), []byte(o.TLSKey))
	if err != nil {
		return nil, fmt.Errorf("FIGSTILE_TLS_CERT: %w", err)
	}
	return &tls.Config{MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{pair}}, nil
}

// peerTLS returns the TLS configuration for peers, or nil if there is no
// certificate. Both sides must present a certificate signed by the fleet's
// authority.
func (o *Options) peerTLS() (*tls.Config, error) {
	if o.PeerCert == "" || o.PeerKey == "" || o.PeerCA == "" {
		return nil, nil
	}
	pair, err := tls.X509KeyPair([]byte(o.PeerCert), []byte(o.PeerKey))
	if err != nil {
		return nil, fmt.Errorf("FIGSTILE_PEER_CERT: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM([]byte(o.PeerCA)) {
		return nil, errors.New("FIGSTILE_PEER_CA: no certificate found")
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{pair},
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ClientCAs:    pool,
		RootCAs:      pool,
		ServerName:   o.Fleet,
	}, nil
}

func (o *Options) router() state.Router         { return state.Router(o.Router) }
func (o *Options) dataCentre() state.DataCentre { return state.DataCentre(o.DataCentre) }
