package capacity

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/figstile/figstile/coordination/scheduler"
	"github.com/figstile/figstile/state"
	"github.com/figstile/figstile/state/config"
)

// rigCentres is the number of data centres of a measured scheduler. Few of
// them leave each router some upstreams at every size.
const rigCentres = 4

// rigSlots is how many requests a measured upstream runs.
const rigSlots = 8

// size is what one scheduler is measured with.
type size struct {
	routers    int
	upstreams  int
	workspaces int
	services   int
}

// rig is one scheduler with a clock of its own.
type rig struct {
	*scheduler.Scheduler
	size
	now    time.Time
	lastID state.RequestID
	owned  []state.Upstream
}

func newRig(s size) *rig {
	r := &rig{
		size:      s,
		now:       time.Unix(1_800_000_000, 0),
		Scheduler: scheduler.New(scheduler.Options{Self: peerNamed(0), Seed: 1}),
	}
	r.step(scheduler.Tick{})
	r.step(scheduler.PeersChanged{Peers: peersOf(s.routers)})
	r.note(r.step(scheduler.Configured{Settings: s.settings()}))
	r.report()
	return r
}

func (r *rig) step(ev scheduler.Event) []scheduler.Action { return r.Step(r.now, ev) }

// tick lets one tick's time pass.
func (r *rig) tick() []scheduler.Action {
	r.now = r.now.Add(scheduler.TickInterval)
	return r.step(scheduler.Tick{})
}

func (r *rig) note(actions []scheduler.Action) {
	for _, a := range actions {
		if owned, ok := a.(scheduler.Owned); ok {
			r.owned = owned.Upstreams
		}
	}
}

// report makes the owned upstreams usable.
func (r *rig) report() {
	for _, name := range r.owned {
		r.step(scheduler.Reported{Report: state.LoadReport{Upstream: name, Boot: "1", Slots: rigSlots}})
	}
}

// serve takes one request from its arrival to its end at an own upstream.
func (r *rig) serve() {
	r.lastID++
	r.step(scheduler.Arrived{Request: r.request(int(r.lastID))})
	r.step(scheduler.Ended{ID: r.lastID, Cost: state.CostUnit, Outcome: scheduler.OutcomeServed})
}

func (r *rig) request(i int) scheduler.Request {
	return scheduler.Request{
		ID: r.lastID, Service: serviceNamed(0), Workspace: workspaceNamed(i % r.workspaces),
		CostHint: state.CostUnit, Bytes: 4 << 10, Deadline: r.now.Add(time.Hour),
	}
}

// wait queues requests of so many workspaces, which nobody can serve.
func (r *rig) wait(workspaces int) []scheduler.Action {
	var actions []scheduler.Action
	for i := range workspaces {
		r.lastID++
		actions = append(actions, r.step(scheduler.Arrived{Request: r.request(i)})...)
	}
	return actions
}

func (s size) settings() config.Settings {
	var settings config.Settings
	for i := range s.services {
		settings.Services = append(settings.Services, config.Service{Name: serviceNamed(i), Kind: config.KindWorker})
	}
	for i := range s.upstreams {
		service := &settings.Services[i%s.services]
		service.Upstreams = append(service.Upstreams, upstreamNamed(i))
	}
	for i := range s.workspaces {
		settings.Workspaces = append(settings.Workspaces, config.WorkspaceSettings{
			Name: workspaceNamed(i), Team: teamNamed(0), Share: 1 / float64(s.workspaces),
		})
	}
	return settings
}

func peersOf(n int) []scheduler.Peer {
	peers := make([]scheduler.Peer, n)
	for i := range peers {
		peers[i] = peerNamed(i)
	}
	return peers
}

func peerNamed(i int) scheduler.Peer {
	return scheduler.Peer{
		Router:      state.Router(fmt.Sprintf("router-%04d", i)),
		DataCentre:  centreNamed(i % rigCentres),
		Incarnation: rigIncarnation,
	}
}

// rigIncarnation is as long as a real one, which is a time in nanoseconds.
const rigIncarnation state.Incarnation = 1_800_000_000_000_000_000

// The names are of the length that real ones have: most bytes of a message
// are names.
func serviceNamed(i int) state.Service { return state.Service(fmt.Sprintf("redaccion-%02d", i)) }

func workspaceNamed(i int) state.Workspace { return state.Workspace(fmt.Sprintf("workspace-%05d", i)) }
func centreNamed(i int) state.DataCentre   { return state.DataCentre(fmt.Sprintf("sala-%02d", i)) }
func teamNamed(i int) state.Team           { return state.Team(fmt.Sprintf("team-%04d", i)) }
func upstreamName(i int) state.Upstream    { return state.Upstream(fmt.Sprintf("engine-%05d", i)) }
func upstreamNamed(i int) config.Upstream {
	return config.Upstream{
		Name: upstreamName(i), DataCentre: centreNamed(i % rigCentres),
		URL: fmt.Sprintf("http://10.%d.%d.%d:8000", i>>16, i>>8&0xff, i&0xff),
	}
}

// rootObject is the operators' object of a fleet.
func rootObject(teams, upstreams int) []byte {
	root := config.Root{OperatorTokens: []string{digestOf(0)}}
	for i := range teams {
		root.Teams = append(root.Teams, config.TeamShare{Name: teamNamed(i), Share: 1, Tokens: []string{digestOf(1 + i)}})
	}
	root.Services = size{services: 1, upstreams: upstreams}.settings().Services
	return encoded(root)
}

// teamObject is the object of one team.
func teamObject(team, workspaces int) []byte {
	subtree := config.Subtree{Team: teamNamed(team)}
	for i := range workspaces {
		id := team*workspaces + i
		subtree.Workspaces = append(subtree.Workspaces, config.Workspace{
			Name: workspaceNamed(id), Weight: 1, Tokens: []string{digestOf(1_000_000 + id)},
		})
	}
	return encoded(subtree)
}

func digestOf(i int) string { return config.DigestOf(fmt.Sprintf("token-%d", i)).String() }

// encoded cannot fail: the objects hold nothing that JSON lacks.
func encoded(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return data
}

// hearDemandFrom passes on a peer's demand.
func (r *rig) hearDemandFrom(peer int, d scheduler.Demand) []scheduler.Action {
	return r.step(scheduler.DemandHeard{From: peerNamed(peer).Router, Demand: d})
}
