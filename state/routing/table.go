package routing

import (
	"strings"

	"github.com/figstile/figstile/state"
)

// Table indexes a Config for lookups. It is immutable.
type Table struct {
	config Config
	// hosts maps each host to its routes by path prefix.
	hosts    map[string]map[string]*Route
	services map[state.Service]*Service
	keys     map[string]state.Workspace
	// regions holds the regions of the workspaces that are restricted to some.
	regions map[state.Workspace][]state.Region
}

// NewTable indexes a configuration. The caller must not modify the
// configuration afterwards.
func NewTable(config Config) *Table {
	t := &Table{
		config:   config,
		hosts:    make(map[string]map[string]*Route),
		services: make(map[state.Service]*Service),
		keys:     make(map[string]state.Workspace),
		regions:  make(map[state.Workspace][]state.Region),
	}
	for i := range config.Routes {
		t.addRoute(&config.Routes[i])
	}
	for i := range config.Services {
		t.services[config.Services[i].Name] = &config.Services[i]
	}
	for _, workspace := range config.Workspaces {
		if len(workspace.Regions) > 0 {
			t.regions[workspace.Name] = workspace.Regions
		}
		for _, key := range workspace.Keys {
			t.keys[key] = workspace.Name
		}
	}
	return t
}

// Version returns the version of the configuration.
func (t *Table) Version() uint64 { return t.config.Version }

// Limits returns the limits for callers.
func (t *Table) Limits() Limits { return t.config.Limits }

// Services returns the services. The caller must not modify them.
func (t *Table) Services() []Service { return t.config.Services }

// HasWorkspaces reports whether there are workspaces, in which case routes that
// are not public need a key.
func (t *Table) HasWorkspaces() bool { return len(t.config.Workspaces) > 0 }

// addRoute adds a route to the index. Of two routes with the same host and
// prefix, the first one is used.
func (t *Table) addRoute(route *Route) {
	host := strings.ToLower(route.Host)
	if t.hosts[host] == nil {
		t.hosts[host] = make(map[string]*Route)
	}
	if _, ok := t.hosts[host][route.Prefix]; !ok {
		t.hosts[host][route.Prefix] = route
	}
}

// Route returns the host's route with the longest prefix that matches the path.
// A port in the host is ignored.
func (t *Table) Route(host, path string) (*Route, bool) {
	routes := t.hosts[strings.ToLower(withoutPort(host))]
	for end := len(path); end > 0; end = strings.LastIndexByte(path[:end-1], '/') + 1 {
		if route, ok := routes[path[:end]]; ok {
			return route, true
		}
	}
	return nil, false
}

// withoutPort removes the port from a host. Colons in brackets belong to an
// IPv6 address.
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

// WorkspaceRegions returns the regions that a workspace is restricted to, or
// nil if it is not restricted.
func (t *Table) WorkspaceRegions(ws state.Workspace) []state.Region { return t.regions[ws] }

// Workspace returns the workspace to which a key belongs.
func (t *Table) Workspace(key string) (state.Workspace, bool) {
	workspace, ok := t.keys[key]
	return workspace, ok
}
