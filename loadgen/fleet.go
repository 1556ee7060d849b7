package loadgen

import (
	"encoding/json"
	"os"

	"github.com/figstile/figstile/state"
)

// Fleet tells where a fleet is reached. figstile dev writes one.
type Fleet struct {
	Routers   []Router   `json:"routers"`
	Upstreams []Upstream `json:"upstreams"`
	// StatusToken reads the routers' status.
	StatusToken string `json:"status_token,omitempty"`
}

// Router is one router's base URLs.
type Router struct {
	Name      state.Router `json:"name"`
	CallerURL string       `json:"callers"`
	// AdminURL may be empty; the router's status is then not read.
	AdminURL string `json:"admin,omitempty"`
}

// Upstream is one upstream's base URL.
type Upstream struct {
	Name    state.Upstream `json:"name"`
	Service state.Service  `json:"service"`
	URL     string         `json:"url"`
}

// ReadFleet reads a fleet's description from a file.
func ReadFleet(path string) (Fleet, error) {
	var fleet Fleet
	data, err := os.ReadFile(path)
	if err != nil {
		return fleet, err
	}
	err = json.Unmarshal(data, &fleet)
	return fleet, err
}
