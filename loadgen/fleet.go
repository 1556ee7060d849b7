package loadgen

import (
	"encoding/json"
	"os"

	"github.com/figstile/figstile/state"
)

// Fleet holds the addresses of the routers and upstreams of one fleet. The
// command "figstile dev" writes such a file.
type Fleet struct {
	Routers   []Router   `json:"routers"`
	Upstreams []Upstream `json:"upstreams"`
	// StatusToken is the bearer token for the status endpoint of the routers.
	StatusToken string `json:"status_token,omitempty"`
}

// Router holds the name and the base URLs of one router.
type Router struct {
	Name      state.Router `json:"name"`
	CallerURL string       `json:"callers"`
	// AdminURL is optional. If it is empty, the status of the router is not
	// read.
	AdminURL string `json:"admin,omitempty"`
}

// Upstream holds the name, the service and the base URL of one upstream.
type Upstream struct {
	Name    state.Upstream `json:"name"`
	Service state.Service  `json:"service"`
	URL     string         `json:"url"`
}

// ReadFleet reads the description of a fleet from a JSON file.
func ReadFleet(path string) (Fleet, error) {
	var fleet Fleet
	data, err := os.ReadFile(path)
	if err != nil {
		return fleet, err
	}
	err = json.Unmarshal(data, &fleet)
	return fleet, err
}
