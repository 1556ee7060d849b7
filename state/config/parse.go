package config

import (
	"math"
	"net/http"

	"github.com/figstile/figstile/state"
)

// Bounds on weights and shares. A workspace's share is a quotient of sums of
// weights, which a float64 represents accurately enough only within a limited
// range. Beyond it, a share could be rounded to zero and the workspace would be
// starved.
const (
	MinWeight = 1e-6
	MaxWeight = 1e6
)

// MaxDeadlineMillis limits a default deadline to one day. A larger value is a
// mistake in the unit, and a much larger one would overflow a duration.
const MaxDeadlineMillis = 24 * 60 * 60 * 1000

// MaxSlots bounds an upstream's slots. A larger value is a mistake, and such an
// upstream would attract all requests of its service.
const MaxSlots = 100_000

// ParseRoot parses the operators' object. A returned error is an *Error with
// all faults.
func ParseRoot(data []byte) (Root, error) {
	var root Root
	fs := decodeStrict(data, &root)
	fs.addUnlessPathKnown(checkRoot(root))
	if err := fs.err(); err != nil {
		return Root{}, err
	}
	return root, nil
}

// ParseSubtree parses the object of one team. A returned error is an *Error
// with all faults.
func ParseSubtree(team state.Team, data []byte) (Subtree, error) {
	var subtree Subtree
	fs := decodeStrict(data, &subtree)
	fs.addUnlessPathKnown(checkSubtree(team, subtree))
	if err := fs.err(); err != nil {
		return Subtree{}, err
	}
	return subtree, nil
}

func checkRoot(root Root) faults {
	var fs faults
	digests := uniqueNames{}
	fs.checkDigests("operator_tokens", root.OperatorTokens, digests)
	services := uniqueNames{}
	upstreams := uniqueNames{}
	for i, s := range root.Services {
		path := indexPath("services", i)
		services.check(&fs, fieldPath(path, "name"), string(s.Name))
		fs.checkService(path, s, upstreams)
	}
	teams := uniqueNames{}
	for i, t := range root.Teams {
		path := indexPath("teams", i)
		teams.check(&fs, fieldPath(path, "name"), string(t.Name))
		fs.checkTeam(path, t, services, digests)
	}
	fs.checkHistory(root.History, root.ChangeID)
	return fs
}

func (fs *faults) checkTeam(path string, t TeamShare, services, digests uniqueNames) {
	fs.checkName(fieldPath(path, "name"), string(t.Name))
	fs.checkWeight(fieldPath(path, "share"), t.Share)
	fs.checkDigests(fieldPath(path, "tokens"), t.Tokens, digests)
	fs.checkServiceNames(fieldPath(path, "services"), t.Services)
	for i, s := range t.Services {
		if _, ok := services[string(s)]; !ok && s != "" {
			fs.add(indexPath(fieldPath(path, "services"), i), "there is no service %q", s)
		}
	}
}

func (fs *faults) checkService(path string, s Service, upstreams uniqueNames) {
	fs.checkName(fieldPath(path, "name"), string(s.Name))
	if s.Kind != KindEngine && s.Kind != KindWorker {
		fs.add(fieldPath(path, "kind"), "must be %q or %q", KindEngine, KindWorker)
	}
	if s.Kind == KindWorker && len(s.Models) > 0 {
		fs.add(fieldPath(path, "models"), "application workers hold no models")
	}
	fs.checkModelNames(fieldPath(path, "models"), s.Models)
	fs.checkCost(fieldPath(path, "cost"), s.Cost)
	fs.checkLimits(fieldPath(path, "limits"), s.Limits)
	for i, u := range s.Upstreams {
		upstreamPath := indexPath(fieldPath(path, "upstreams"), i)
		upstreams.check(fs, fieldPath(upstreamPath, "name"), string(u.Name))
		fs.checkUpstream(upstreamPath, u)
		fs.checkWantedModels(fieldPath(upstreamPath, "wanted_models"), s, u.WantedModels)
	}
}

// checkWantedModels accepts only models that the service offers. Otherwise a
// mistyped name would make the engine unload every model that requests may use,
// and the service would refuse all requests until the operator finds the
// mistake.
func (fs *faults) checkWantedModels(path string, s Service, wanted []state.Model) {
	if len(wanted) > 0 && s.Kind == KindWorker {
		fs.add(path, "application workers hold no models")
	}
	fs.checkModelNames(path, wanted)
	for i, m := range wanted {
		if m != "" && !allowedBy(s.Models, m) {
			fs.add(indexPath(path, i), "the service does not offer model %q", m)
		}
	}
}

func (fs *faults) checkCost(path string, c CostWeights) {
	fs.checkPrice(fieldPath(path, "input_token"), c.InputToken)
	fs.checkPrice(fieldPath(path, "output_token"), c.OutputToken)
	fs.checkPrice(fieldPath(path, "busy_second"), c.BusySecond)
}

// checkPrice accepts zero, which means that this kind of usage is free, and
// otherwise any valid weight.
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
	fs.checkNotNegative(fieldPath(path, "queue_requests"), int64(l.QueueRequests))
	fs.checkNotNegative(fieldPath(path, "queue_bytes"), l.QueueBytes)
	fs.checkNotNegative(fieldPath(path, "body_bytes"), l.BodyBytes)
	fs.checkNotNegative(fieldPath(path, "answer_bytes"), l.AnswerBytes)
	fs.checkNotNegative(fieldPath(path, "deadline_ms"), l.DeadlineMillis)
	if l.DeadlineMillis > MaxDeadlineMillis {
		fs.add(fieldPath(path, "deadline_ms"), "%d is more than a day", l.DeadlineMillis)
	}
	effective := l.WithDefaults()
	if l.QueueBytes >= 0 && l.BodyBytes >= 0 && effective.QueueBytes < effective.BodyBytes {
		fs.add(fieldPath(path, "queue_bytes"), "%d cannot hold one body of %d bytes", effective.QueueBytes, effective.BodyBytes)
	}
}

func (fs *faults) checkNotNegative(path string, n int64) {
	if n < 0 {
		fs.add(path, "%d must not be negative", n)
	}
}

func (fs *faults) checkUpstream(path string, u Upstream) {
	fs.checkName(fieldPath(path, "name"), string(u.Name))
	fs.checkName(fieldPath(path, "data_centre"), string(u.DataCentre))
	fs.checkURL(fieldPath(path, "url"), u.URL)
	if u.Slots < 0 || u.Slots > MaxSlots {
		fs.add(fieldPath(path, "slots"), "%d must be from 0 to %d", u.Slots, MaxSlots)
	}
}

// checkURL accepts URLs to which an HTTP request can be sent.
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
	names := uniqueNames{}
	digests := uniqueNames{}
	for i, w := range s.Workspaces {
		path := indexPath("workspaces", i)
		names.check(&fs, fieldPath(path, "name"), string(w.Name))
		fs.checkWorkspace(path, w, digests)
	}
	fs.checkHistory(s.History, s.ChangeID)
	return fs
}

func (fs *faults) checkWorkspace(path string, w Workspace, digests uniqueNames) {
	fs.checkName(fieldPath(path, "name"), string(w.Name))
	fs.checkWeight(fieldPath(path, "weight"), w.Weight)
	fs.checkDigests(fieldPath(path, "tokens"), w.Tokens, digests)
	fs.checkServiceNames(fieldPath(path, "services"), w.Services)
	fs.checkModelNames(fieldPath(path, "models"), w.Models)
}

func (fs *faults) checkServiceNames(path string, services []state.Service) {
	names := uniqueNames{}
	for i, s := range services {
		fs.checkName(indexPath(path, i), string(s))
		names.check(fs, indexPath(path, i), string(s))
	}
}

func (fs *faults) checkModelNames(path string, models []state.Model) {
	names := uniqueNames{}
	for i, m := range models {
		fs.checkModel(indexPath(path, i), string(m))
		names.check(fs, indexPath(path, i), string(m))
	}
}
