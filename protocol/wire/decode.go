package wire

import (
	"github.com/figstile/figstile/coordination/scheduler"
	"github.com/figstile/figstile/protocol/peerpb"
	"github.com/figstile/figstile/state"
)

// ToEvent converts a message of a peer into a scheduler event. It returns an
// *Error if the message exceeds a bound or is not meant for the scheduler.
func ToEvent(from state.Router, fromIncarnation state.Incarnation, env *peerpb.Envelope) (scheduler.Event, error) {
	var c checker
	event := c.event(from, fromIncarnation, env)
	if c.err != nil {
		return nil, c.err
	}
	return event, nil
}

func (c *checker) event(from state.Router, incarnation state.Incarnation, env *peerpb.Envelope) scheduler.Event {
	switch body := env.GetBody().(type) {
	case *peerpb.Envelope_Demand:
		return c.demand(from, body.Demand)
	case *peerpb.Envelope_Grant:
		return c.grant(from, body.Grant)
	case *peerpb.Envelope_Decline:
		return c.decline(from, body.Decline)
	case *peerpb.Envelope_Progress:
		return c.progress(from, body.Progress)
	case *peerpb.Envelope_Ended:
		return c.ended(from, body.Ended)
	case *peerpb.Envelope_Usage:
		return c.usage(from, incarnation, body.Usage)
	case *peerpb.Envelope_Crash:
		return c.crash(body.Crash)
	case *peerpb.Envelope_Leaving:
		return c.leaving(body.Leaving)
	case nil:
		c.fail(CodeEmpty, "envelope")
	default:
		c.fail(CodeNotForScheduler, "envelope")
	}
	return nil
}

func (c *checker) demand(from state.Router, m *peerpb.Demand) scheduler.Event {
	service := c.requiredName("demand.service", m.GetService())
	c.listLength("demand.entries", len(m.GetEntries()))
	if c.err != nil {
		return nil
	}
	var entries []scheduler.DemandEntry
	var previous state.Model
	for _, e := range m.GetEntries() {
		entry := c.demandEntry(e, previous)
		entries = append(entries, entry)
		previous = entry.Model
	}
	return scheduler.DemandHeard{
		From:   from,
		Demand: scheduler.Demand{Service: state.Service(service), Entries: entries, Full: m.GetFull()},
	}
}

// demandEntry converts one entry of a demand. An entry without a model has the
// model of the previous entry.
func (c *checker) demandEntry(e *peerpb.DemandEntry, previous state.Model) scheduler.DemandEntry {
	model := previous
	if e != nil && e.Model != nil {
		model = state.Model(c.optionalName("demand.model", e.GetModel()))
	}
	return scheduler.DemandEntry{
		Workspace: state.Workspace(c.requiredName("demand.workspace", e.GetWorkspace())),
		Model:     model,
		Waiting:   c.int32Count("demand.waiting", e.GetWaiting()),
		HeadAge:   durationFromMillis(e.GetHeadAgeMs()),
		HeadCost:  c.cost("demand.head_cost", e.GetHeadCost()),
	}
}

func (c *checker) grant(from state.Router, m *peerpb.Grant) scheduler.Event {
	return scheduler.GrantHeard{Grant: scheduler.Grant{
		Owner:     from,
		Sequence:  m.GetSequence(),
		Service:   state.Service(c.requiredName("grant.service", m.GetService())),
		Workspace: state.Workspace(c.requiredName("grant.workspace", m.GetWorkspace())),
		Model:     state.Model(c.optionalName("grant.model", m.GetModel())),
		Upstream:  state.Upstream(c.requiredName("grant.upstream", m.GetUpstream())),
		Lifetime:  durationFromMillis(m.GetExpiresInMs()),
		Reserved:  c.cost("grant.reserved", m.GetReserved()),
	}}
}

func (c *checker) decline(from state.Router, m *peerpb.Decline) scheduler.Event {
	return scheduler.DeclineHeard{
		From:     from,
		Sequence: m.GetSequence(),
		Service:  state.Service(c.requiredName("decline.service", m.GetService())),
		Demand:   c.demandEntry(m.GetDemand(), ""),
	}
}

func (c *checker) progress(from state.Router, m *peerpb.Progress) scheduler.Event {
	return scheduler.ProgressHeard{
		From:      from,
		Sequence:  m.GetSequence(),
		Upstream:  state.Upstream(c.requiredName("progress.upstream", m.GetUpstream())),
		Service:   state.Service(c.requiredName("progress.service", m.GetService())),
		Workspace: state.Workspace(c.requiredName("progress.workspace", m.GetWorkspace())),
		Cost:      c.cost("progress.cost", m.GetCost()),
		Started:   m.GetStarted(),
	}
}

func (c *checker) ended(from state.Router, m *peerpb.Ended) scheduler.Event {
	return scheduler.EndedHeard{
		From:      from,
		Sequence:  m.GetSequence(),
		Upstream:  state.Upstream(c.requiredName("ended.upstream", m.GetUpstream())),
		Service:   state.Service(c.requiredName("ended.service", m.GetService())),
		Workspace: state.Workspace(c.requiredName("ended.workspace", m.GetWorkspace())),
		Cost:      c.cost("ended.cost", m.GetCost()),
		Outcome:   c.outcome(m.GetOutcome()),
	}
}

func (c *checker) outcome(value uint32) scheduler.Outcome {
	if value < uint32(scheduler.OutcomeServed) || value > uint32(scheduler.OutcomeRefused) {
		c.fail(CodeOutOfRange, "ended.outcome")
		return 0
	}
	return scheduler.Outcome(value)
}

// usage converts usage counters. Counters without an origin are those of the
// sender.
func (c *checker) usage(from state.Router, incarnation state.Incarnation, m *peerpb.Usage) scheduler.Event {
	c.listLength("usage.entries", len(m.GetEntries()))
	if c.err != nil {
		return nil
	}
	event := scheduler.UsageHeard{Origin: from, Incarnation: incarnation, Full: m.GetFull()}
	if origin := c.optionalName("usage.origin", m.GetOrigin()); origin != "" {
		event.Origin = state.Router(origin)
		event.Incarnation = state.Incarnation(m.GetOriginIncarnation())
	}
	var previous state.Service
	for _, e := range m.GetEntries() {
		entry := c.usageEntry(e, previous)
		event.Entries = append(event.Entries, entry)
		previous = entry.Service
	}
	return event
}

// usageEntry converts one entry of usage counters. An entry without a service
// has the service of the previous entry.
func (c *checker) usageEntry(e *peerpb.UsageEntry, previous state.Service) scheduler.UsageEntry {
	service := previous
	if previous == "" || e.GetService() != "" {
		service = state.Service(c.requiredName("usage.service", e.GetService()))
	}
	return scheduler.UsageEntry{
		Service:   service,
		Workspace: state.Workspace(c.requiredName("usage.workspace", e.GetWorkspace())),
		Charged:   c.cost("usage.charged", e.GetCharged()),
		Reserved:  c.cost("usage.reserved", e.GetReserved()),
		Lift:      c.cost("usage.lift", e.GetLift()),
		// A virtual time is a position and not a cost. It can be negative,
		// because the credit for idle time can reduce it below zero.
		Virtual: state.Cost(e.GetVirtual()),
	}
}

func (c *checker) crash(m *peerpb.Crash) scheduler.Event {
	return scheduler.CrashHeard{
		Fingerprint: state.Fingerprint(m.GetFingerprint()),
		Upstream:    state.Upstream(c.requiredName("crash.upstream", m.GetUpstream())),
		Boot:        c.optionalName("crash.boot", m.GetBoot()),
		Loss:        scheduler.LossAge{Started: durationFromMillis(m.GetStartedMs()), Lost: durationFromMillis(m.GetLostMs())},
	}
}

func (c *checker) leaving(m *peerpb.Leaving) scheduler.Event {
	return scheduler.UpstreamLeaving{
		Upstream: state.Upstream(c.requiredName("leaving.upstream", m.GetUpstream())),
		Boot:     c.optionalName("leaving.boot", m.GetBoot()),
	}
}
