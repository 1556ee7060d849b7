package config

import (
	"math"
	"net/http"

	"github.com/figstile/figstile/state"
)

// Bounds on weights and shares. Shares are quotients of sums of them, which
// stay exact enough in a float64 only within a limited range; outside it a
// workspace's share would round to nothing and it would starve.
const (
	MinWeight = 1e-6
	MaxWeight = 1e6
)

// MaxDeadlineMillis bounds a default deadline to a day: more is a slip of the
// unit, and far more overflows a duration.
const MaxDeadlineMillis = 24 * 60 * 60 * 1000

// MaxSlots bounds an upstream's slots: more is a slip, and one such upstream
// would draw every request of its service.
const MaxSlots = 100_000

// ParseRoot reads the operators' object. The error is an *Error with every
// fault.
func ParseRoot(data []byte) (Root, error) {
	var root Root
	fs := decodeStrict(data, &root)
	fs.addUnlessAt(checkRoot(root))
	if err := fs.err(); err != nil {
		return Root{}, err
	}
	return root, nil
}

// ParseSubtree reads the object of one team. The error is an *Error with
// every fault.
func ParseSubtree(team state.Team, data []byte) (Subtree, error) {
	var subtree Subtree
	fs := decodeStrict(data, &subtree)
	fs.addUnlessAt(checkSubtree(team, subtree))
	if err := fs.err(); err != nil {
		return Subtree{}, err
	}
	return subtree, nil
}

func checkRoot(root Root) faults {
	var fs faults
	digests := unique{}
	fs.checkDigests("operator_tokens", root.OperatorTokens, digests)
	services := unique{}
	upstreams := unique{}
	for i, s := range root.Services {
		path := at("services", i)
		services.check(&fs, join(path, "name"), string(s.Name))
		fs.checkService(path, s, upstreams)
	}
	teams := unique{}
	for i, t := range root.Teams {
		path := at("teams", i)
		teams.check(&fs, join(path, "name"), string(t.Name))
		fs.checkTeam(path, t, services, digests)
	}
	fs.checkHistory(root.History, root.ChangeID)
	return fs
}

func (fs *faults) checkTeam(path string, t TeamShare, services, digests unique) {
	fs.checkName(join(path, "name"), string(t.Name))
	fs.checkWeight(join(path, "share"), t.Share)
	fs.checkDigests(join(path, "tokens"), t.Tokens, digests)
	fs.checkServiceNames(join(path, "services"), t.Services)
	for i, s := range t.Services {
		if _, ok := services[string(s)]; !ok && s != "" {
			fs.add(at(join(path, "services"), i), "there is no service %q", s)
		}
	}
}

func (fs *faults) checkService(path string, s Service, upstreams unique) {
	fs.checkName(join(path, "name"), string(s.Name))
	if s.Kind != KindEngine && s.Kind != KindWorker {
		fs.add(join(path, "kind"), "must be %q or %q", KindEngine, KindWorker)
	}
	if s.Kind == KindWorker && len(s.Models) > 0 {
		fs.add(join(path, "models"), "application workers hold no models")
	}
	fs.checkModelNames(join(path, "models"), s.Models)
	fs.checkCost(join(path, "cost"), s.Cost)
	fs.checkLimits(join(path, "limits"), s.Limits)
	for i, u := range s.Upstreams {
		under := at(join(path, "upstreams"), i)
		upstreams.check(fs, join(under, "name"), string(u.Name))
		fs.checkUpstream(under, u)
		fs.checkWantedModels(join(under, "wanted_models"), s, u.WantedModels)
	}
}

// checkWantedModels admits only what the service offers. An engine would
// otherwise be ordered to drop every model that requests may ask for, and the
// service would refuse them all until the operator found the slip.
func (fs *faults) checkWantedModels(path string, s Service, wanted []state.Model) {
	if len(wanted) > 0 && s.Kind == KindWorker {
		fs.add(path, "application workers hold no models")
	}
	fs.checkModelNames(path, wanted)
	for i, m := range wanted {
		if m != "" && !permits(s.Models, m) {
			fs.add(at(path, i), "the service does not offer model %q", m)
		}
	}
}

func (fs *faults) checkCost(path string, c CostWeights) {
	fs.checkPrice(join(path, "input_token"), c.InputToken)
	fs.checkPrice(join(path, "output_token"), c.OutputToken)
	fs.checkPrice(join(path, "busy_second"), c.BusySecond)
}

// checkPrice admits zero, which charges nothing for that kind of usage.
func (fs *faults) checkPrice(path string, price float64) {
	if price != 0 {
		fs.checkWeight(path, price)
	}
}

func (fs *faults) checkWeight(path string, weight float64) {
	if math.IsNaN(weight) || weight < MinWeight || weight > MaxWeight {
		fs.add(path, "%v must be a number from %v to %v", weight, MinWeight, MaxWeight)
	}
}

func (fs *faults) checkLimits(path string, l Limits) {
	fs.checkNotNegative(join(path, "queue_requests"), int64(l.QueueRequests))
	fs.checkNotNegative(join(path, "queue_bytes"), l.QueueBytes)
	fs.checkNotNegative(join(path, "body_bytes"), l.BodyBytes)
	fs.checkNotNegative(join(path, "answer_bytes"), l.AnswerBytes)
	fs.checkNotNegative(join(path, "deadline_ms"), l.DeadlineMillis)
	if l.DeadlineMillis > MaxDeadlineMillis {
		fs.add(join(path, "deadline_ms"), "%d is more than a day", l.DeadlineMillis)
	}
	full := l.WithDefaults()
	if l.QueueBytes >= 0 && l.BodyBytes >= 0 && full.QueueBytes < full.BodyBytes {
		fs.add(join(path, "queue_bytes"), "%d cannot hold one body of %d bytes", full.QueueBytes, full.BodyBytes)
	}
}

func (fs *faults) checkNotNegative(path string, n int64) {
	if n < 0 {
		fs.add(path, "%d must not be negative", n)
	}
}

func (fs *faults) checkUpstream(path string, u Upstream) {
	fs.checkName(join(path, "name"), string(u.Name))
	fs.checkName(join(path, "data_centre"), string(u.DataCentre))
	fs.checkURL(join(path, "url"), u.URL)
	if u.Slots < 0 || u.Slots > MaxSlots {
		fs.add(join(path, "slots"), "%d must be from 0 to %d", u.Slots, MaxSlots)
	}
}

// checkURL admits what a request can be made for.
func (fs *faults) checkURL(path, raw string) {
	if raw == "" {
		fs.add(path, "must not be empty")
		return
	}
	request, err := http.NewRequest(http.MethodPost, raw, nil)
	if err != nil {
		fs.add(path, "%q is not a URL", clip(raw))
		return
	}
	u := request.URL
	switch {
	case u.Scheme != "http" && u.Scheme != "https":
		fs.add(path, "%q must begin with http:// or https://", clip(raw))
	case u.Hostname() == "":
		fs.add(path, "%q has no host", clip(raw))
	case u.User != nil:
		fs.add(path, "must not hold a user or password")
	case u.RawQuery != "" || u.Fragment != "":
		fs.add(path, "%q must not have a query or fragment", clip(raw))
	}
}

func checkSubtree(team state.Team, s Subtree) faults {
	var fs faults
	fs.checkName("team", string(s.Team))
	if s.Team != "" && s.Team != team {
		fs.add("team", "%q must be %q, as the object's key says", clip(string(s.Team)), team)
	}
	if s.Deleted && len(s.Workspaces) > 0 {
		fs.add("workspaces", "a deleted team has none")
	}
	names := unique{}
	digests := unique{}
	for i, w := range s.Workspaces {
		path := at("workspaces", i)
		names.check(&fs, join(path, "name"), string(w.Name))
		fs.checkWorkspace(path, w, digests)
	}
	fs.checkHistory(s.History, s.ChangeID)
	return fs
}

func (fs *faults) checkWorkspace(path string, w Workspace, digests unique) {
	fs.checkName(join(path, "name"), string(w.Name))
	fs.checkWeight(join(path, "weight"), w.Weight)
	fs.checkDigests(join(path, "tokens"), w.Tokens, digests)
	fs.checkServiceNames(join(path, "services"), w.Services)
	fs.checkModelNames(join(path, "models"), w.Models)
}

func (fs *faults) checkServiceNames(path string, services []state.Service) {
	names := unique{}
	for i, s := range services {
		fs.checkName(at(path, i), string(s))
		names.check(fs, at(path, i), string(s))
	}
}

func (fs *faults) checkModelNames(path string, models []state.Model) {
	names := unique{}
	for i, m := range models {
		fs.checkModel(at(path, i), string(m))
		names.check(fs, at(path, i), string(m))
	}
}
