package routing

import (
	"strings"

	"github.com/figstile/figstile/state"
)

// Table is a Config prepared for lookups. It is immutable.
type Table struct {
	config Config
	// hosts are the routes of each host by their prefixes.
	hosts    map[string]map[string]*Route
	services map[state.Service]*Service
	keys     map[string]state.Workspace
}

// NewTable indexes a configuration. The caller leaves it unchanged afterwards.
func NewTable(config Config) *Table {
	t := &Table{
		config:   config,
		hosts:    make(map[string]map[string]*Route),
		services: make(map[state.Service]*Service),
		keys:     make(map[string]state.Workspace),
	}
	for i := range config.Routes {
		t.addRoute(&config.Routes[i])
	}
	for i := range config.Services {
		t.services[config.Services[i].Name] = &config.Services[i]
	}
	for _, workspace := range config.Workspaces {
		for _, key := range workspace.Keys {
			t.keys[key] = workspace.Name
		}
	}
	return t
}

// Version returns the configuration's version.
func (t *Table) Version() uint64 { return t.config.Version }

// Limits returns what callers may send.
func (t *Table) Limits() Limits { return t.config.Limits }

// Services returns the services; the caller must not change them.
func (t *Table) Services() []Service { return t.config.Services }

// HasWorkspaces says whether routes that are not public need a key.
func (t *Table) HasWorkspaces() bool { return len(t.config.Workspaces) > 0 }

// addRoute indexes a route. Of two with the same host and prefix the first counts.
func (t *Table) addRoute(route *Route) {
	host := strings.ToLower(route.Host)
	if t.hosts[host] == nil {
		t.hosts[host] = make(map[string]*Route)
	}
	if _, ok := t.hosts[host][route.Prefix]; !ok {
		t.hosts[host][route.Prefix] = route
	}
}

// Route returns the route with the longest prefix that begins the path, among
// those of the host. A port in the host is ignored.
func (t *Table) Route(host, path string) (*Route, bool) {
	routes := t.hosts[strings.ToLower(withoutPort(host))]
	for end := len(path); end > 0; end = strings.LastIndexByte(path[:end-1], '/') + 1 {
		if route, ok := routes[path[:end]]; ok {
			return route, true
		}
	}
	return nil, false
}

// withoutPort drops the port of a host; colons in brackets belong to an IPv6
// address.
func withoutPort(host string) string {
	if i := strings.LastIndexByte(host, ':'); i > strings.LastIndexByte(host, ']') {
		return host[:i]
	}
	return host
}

// Service returns a service by name.
func (t *Table) Service(name state.Service) (*Service, bool) {
	service, ok := t.services[name]
	return service, ok
}

// Workspace returns the workspace that holds a key.
func (t *Table) Workspace(key string) (state.Workspace, bool) {
	workspace, ok := t.keys[key]
	return workspace, ok
}
