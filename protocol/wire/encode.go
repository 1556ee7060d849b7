package wire

import (
	"google.golang.org/protobuf/proto"

	"github.com/figstile/figstile/coordination/scheduler"
	"github.com/figstile/figstile/protocol/peerpb"
	"github.com/figstile/figstile/state"
)

// ToEnvelope converts an action that sends a message to peers. The receiver is
// empty if the message goes to all peers. ok is false for actions that do not
// leave the router.
func ToEnvelope(action scheduler.Action) (env *peerpb.Envelope, to state.Router, ok bool) {
	switch a := action.(type) {
	case scheduler.SendDemand:
		return demandEnvelope(a.Demand), a.To, true
	case scheduler.SendGrant:
		return grantEnvelope(a.Grant), a.To, true
	case scheduler.SendDecline:
		return declineEnvelope(a), a.To, true
	case scheduler.SendProgress:
		return progressEnvelope(a), a.To, true
	case scheduler.SendEnded:
		return endedEnvelope(a), a.To, true
	case scheduler.SendUsage:
		return usageEnvelope(a), a.To, true
	case scheduler.SendCrash:
		return crashEnvelope(a), "", true
	case scheduler.SendLeaving:
		return leavingEnvelope(a), "", true
	default:
		return nil, "", false
	}
}

func demandEnvelope(d scheduler.Demand) *peerpb.Envelope {
	entries := make([]*peerpb.DemandEntry, 0, len(d.Entries))
	var previous state.Model
	for _, e := range d.Entries {
		entries = append(entries, demandEntry(e, previous))
		previous = e.Model
	}
	body := &peerpb.Demand{Service: string(d.Service), Entries: entries, Full: d.Full}
	return &peerpb.Envelope{Body: &peerpb.Envelope_Demand{Demand: body}}
}

// demandEntry omits a model that equals the model of the previous entry. Names
// make up most of a message, and a service has few models.
func demandEntry(e scheduler.DemandEntry, previous state.Model) *peerpb.DemandEntry {
	var model *string
	if e.Model != previous {
		model = proto.String(string(e.Model))
	}
	return &peerpb.DemandEntry{
		Workspace: string(e.Workspace),
		Model:     model,
		Waiting:   clampCount(e.Waiting),
		HeadAgeMs: clampMillis(e.HeadAge),
		HeadCost:  int64(e.HeadCost),
	}
}

func grantEnvelope(g scheduler.Grant) *peerpb.Envelope {
	body := &peerpb.Grant{
		Sequence:    g.Sequence,
		Service:     string(g.Service),
		Workspace:   string(g.Workspace),
		Model:       string(g.Model),
		Upstream:    string(g.Upstream),
		ExpiresInMs: lifetimeMillis(g.Lifetime),
		Reserved:    int64(g.Reserved),
	}
	return &peerpb.Envelope{Body: &peerpb.Envelope_Grant{Grant: body}}
}

func declineEnvelope(a scheduler.SendDecline) *peerpb.Envelope {
	body := &peerpb.Decline{
		Sequence: a.Sequence,
		Service:  string(a.Service),
		Demand:   demandEntry(a.Demand, ""),
	}
	return &peerpb.Envelope{Body: &peerpb.Envelope_Decline{Decline: body}}
}

func progressEnvelope(a scheduler.SendProgress) *peerpb.Envelope {
	body := &peerpb.Progress{
		Sequence:  a.Sequence,
		Upstream:  string(a.Upstream),
		Service:   string(a.Service),
		Workspace: string(a.Workspace),
		Cost:      int64(a.Cost),
		Started:   a.Started,
	}
	return &peerpb.Envelope{Body: &peerpb.Envelope_Progress{Progress: body}}
}

func endedEnvelope(a scheduler.SendEnded) *peerpb.Envelope {
	body := &peerpb.Ended{
		Sequence:  a.Sequence,
		Upstream:  string(a.Upstream),
		Service:   string(a.Service),
		Workspace: string(a.Workspace),
		Cost:      int64(a.Cost),
		Outcome:   uint32(a.Outcome),
	}
	return &peerpb.Envelope{Body: &peerpb.Envelope_Ended{Ended: body}}
}

func usageEnvelope(a scheduler.SendUsage) *peerpb.Envelope {
	entries := make([]*peerpb.UsageEntry, 0, len(a.Entries))
	var previous state.Service
	for _, e := range a.Entries {
		entries = append(entries, usageEntry(e, previous))
		previous = e.Service
	}
	body := &peerpb.Usage{
		Entries:           entries,
		Full:              a.Full,
		Origin:            string(a.Origin),
		OriginIncarnation: uint64(a.Incarnation),
	}
	return &peerpb.Envelope{Body: &peerpb.Envelope_Usage{Usage: body}}
}

// usageEntry omits a service that equals the service of the previous entry.
func usageEntry(e scheduler.UsageEntry, previous state.Service) *peerpb.UsageEntry {
	entry := &peerpb.UsageEntry{
		Workspace: string(e.Workspace),
		Charged:   int64(e.Charged),
		Reserved:  int64(e.Reserved),
		Lift:      int64(e.Lift),
		Virtual:   int64(e.Virtual),
	}
	if e.Service != previous {
		entry.Service = string(e.Service)
	}
	return entry
}

func crashEnvelope(a scheduler.SendCrash) *peerpb.Envelope {
	body := &peerpb.Crash{
		Fingerprint: uint64(a.Fingerprint),
		Upstream:    string(a.Upstream),
		Boot:        a.Boot,
		StartedMs:   clampMillis(a.Loss.Started),
		LostMs:      clampMillis(a.Loss.Lost),
	}
	return &peerpb.Envelope{Body: &peerpb.Envelope_Crash{Crash: body}}
}

func leavingEnvelope(a scheduler.SendLeaving) *peerpb.Envelope {
	body := &peerpb.Leaving{Upstream: string(a.Upstream), Boot: a.Boot}
	return &peerpb.Envelope{Body: &peerpb.Envelope_Leaving{Leaving: body}}
}
