package capacity

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/figstile/figstile/coordination/scheduler"
	"github.com/figstile/figstile/state"
	"github.com/figstile/figstile/state/config"
)

// harnessCentres is the number of data centres of a measured scheduler. It is
// small, so that each router owns some upstreams at every size.
const harnessCentres = 4

// slotsPerUpstream is the number of slots of a measured upstream.
const slotsPerUpstream = 8

// fleetSize is the size of the fleet in which a scheduler is measured.
type fleetSize struct {
	routers    int
	upstreams  int
	workspaces int
	services   int
}

// schedulerHarness runs one scheduler with a simulated clock.
type schedulerHarness struct {
	*scheduler.Scheduler
	fleetSize
	now    time.Time
	lastID state.RequestID
	owned  []state.Upstream
}

func newSchedulerHarness(s fleetSize) *schedulerHarness {
	h := &schedulerHarness{
		fleetSize: s,
		now:       time.Unix(1_800_000_000, 0),
		Scheduler: scheduler.New(scheduler.Options{Self: peerNamed(0), Seed: 1}),
	}
	h.step(scheduler.Tick{})
	h.step(scheduler.PeersChanged{Peers: samplePeers(s.routers)})
	h.recordOwned(h.step(scheduler.Configured{Settings: s.settings()}))
	h.reportOwned()
	return h
}

func (h *schedulerHarness) step(ev scheduler.Event) []scheduler.Action { return h.Step(h.now, ev) }

// tick advances the clock by one tick and runs the tick.
func (h *schedulerHarness) tick() []scheduler.Action {
	h.now = h.now.Add(scheduler.TickInterval)
	return h.step(scheduler.Tick{})
}

// recordOwned stores the upstreams that the scheduler owns according to the
// given actions.
func (h *schedulerHarness) recordOwned(actions []scheduler.Action) {
	for _, a := range actions {
		if owned, ok := a.(scheduler.Owned); ok {
			h.owned = owned.Upstreams
		}
	}
}

// reportOwned sends a load report of each owned upstream, which makes the
// upstreams usable.
func (h *schedulerHarness) reportOwned() {
	for _, name := range h.owned {
		h.step(scheduler.Reported{Report: state.LoadReport{Upstream: name, Boot: "1", Slots: slotsPerUpstream}})
	}
}

// serveRequest processes one request, from its arrival to its end, on an
// upstream that the scheduler owns.
func (h *schedulerHarness) serveRequest() {
	h.lastID++
	h.step(scheduler.Arrived{Request: h.newRequest(int(h.lastID))})
	h.step(scheduler.Ended{ID: h.lastID, Cost: state.CostUnit, Outcome: scheduler.OutcomeServed})
}

func (h *schedulerHarness) newRequest(i int) scheduler.Request {
	return scheduler.Request{
		ID: h.lastID, Service: serviceNamed(0), Workspace: workspaceNamed(i % h.workspaces),
		CostHint: state.CostUnit, Bytes: 4 << 10, Deadline: h.now.Add(time.Hour),
	}
}

// queueRequests adds the given number of requests, spread over the workspaces.
// Those for which there is no free slot stay in the queue.
func (h *schedulerHarness) queueRequests(requests int) []scheduler.Action {
	var actions []scheduler.Action
	for i := range requests {
		h.lastID++
		actions = append(actions, h.step(scheduler.Arrived{Request: h.newRequest(i)})...)
	}
	return actions
}

func (s fleetSize) settings() config.Settings {
	var settings config.Settings
	for i := range s.services {
		settings.Services = append(settings.Services, config.Service{Name: serviceNamed(i), Kind: config.KindWorker})
	}
	for i := range s.upstreams {
		service := &settings.Services[i%s.services]
		service.Upstreams = append(service.Upstreams, upstreamConfig(i))
	}
	for i := range s.workspaces {
		settings.Workspaces = append(settings.Workspaces, config.WorkspaceSettings{
			Name: workspaceNamed(i), Team: teamNamed(0), Share: 1 / float64(s.workspaces),
		})
	}
	return settings
}

func samplePeers(n int) []scheduler.Peer {
	peers := make([]scheduler.Peer, n)
	for i := range peers {
		peers[i] = peerNamed(i)
	}
	return peers
}

func peerNamed(i int) scheduler.Peer {
	return scheduler.Peer{
		Router:      state.Router(fmt.Sprintf("router-%04d", i)),
		DataCentre:  centreNamed(i % harnessCentres),
		Incarnation: sampleIncarnation,
	}
}

// sampleIncarnation has the length of a real incarnation, which is a time in
// nanoseconds.
const sampleIncarnation state.Incarnation = 1_800_000_000_000_000_000

// The following functions return names of the same length as real ones, because
// names make up most of the bytes of a message.

func serviceNamed(i int) state.Service { return state.Service(fmt.Sprintf("redaccion-%02d", i)) }

func workspaceNamed(i int) state.Workspace { return state.Workspace(fmt.Sprintf("workspace-%05d", i)) }
func centreNamed(i int) state.DataCentre   { return state.DataCentre(fmt.Sprintf("sala-%02d", i)) }
func teamNamed(i int) state.Team           { return state.Team(fmt.Sprintf("team-%04d", i)) }
func upstreamName(i int) state.Upstream    { return state.Upstream(fmt.Sprintf("engine-%05d", i)) }
func upstreamConfig(i int) config.Upstream {
	return config.Upstream{
		Name: upstreamName(i), DataCentre: centreNamed(i % harnessCentres),
		URL: fmt.Sprintf("http://10.%d.%d.%d:8000", i>>16, i>>8&0xff, i&0xff),
	}
}

// rootObject returns the settings object of the operators, with the given
// numbers of teams and upstreams.
func rootObject(teams, upstreams int) []byte {
	root := config.Root{OperatorTokens: []string{sampleDigest(0)}}
	for i := range teams {
		root.Teams = append(root.Teams, config.TeamShare{Name: teamNamed(i), Share: 1, Tokens: []string{sampleDigest(1 + i)}})
	}
	root.Services = fleetSize{services: 1, upstreams: upstreams}.settings().Services
	return mustMarshal(root)
}

// teamObject returns the settings object of one team with the given number of
// workspaces.
func teamObject(team, workspaces int) []byte {
	subtree := config.Subtree{Team: teamNamed(team)}
	for i := range workspaces {
		id := team*workspaces + i
		subtree.Workspaces = append(subtree.Workspaces, config.Workspace{
			Name: workspaceNamed(id), Weight: 1, Tokens: []string{sampleDigest(1_000_000 + id)},
		})
	}
	return mustMarshal(subtree)
}

func sampleDigest(i int) string { return config.DigestOf(fmt.Sprintf("token-%d", i)).String() }

// mustMarshal encodes v as JSON. It cannot fail for the settings objects and VM
// lists of this package, which contain only types that JSON supports.
func mustMarshal(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return data
}

// receiveDemand processes the demand of the given peer.
func (h *schedulerHarness) receiveDemand(peer int, d scheduler.Demand) []scheduler.Action {
	return h.step(scheduler.DemandHeard{From: peerNamed(peer).Router, Demand: d})
}
