package capacity

import (
	"context"
	"fmt"

	"github.com/figstile/figstile/coordination/claims"
	"github.com/figstile/figstile/coordination/grants"
	"github.com/figstile/figstile/coordination/scheduler"
	"github.com/figstile/figstile/protocol/peerpb"
	"github.com/figstile/figstile/protocol/wire"
	"github.com/figstile/figstile/state"
	"github.com/figstile/figstile/transport/objectstore"
)

// These slopes measure the encoded size of messages in bytes, including the
// length prefix and without yamux framing.
const (
	WireUsage     SlopeName = "wire.usage"
	WireDemand    SlopeName = "wire.demand"
	WireVersions  SlopeName = "wire.versions"
	WireObject    SlopeName = "wire.object"
	WireRoot      SlopeName = "wire.root"
	WireRootTeams SlopeName = "wire.root-teams"
	WireVMs       SlopeName = "wire.vms"
	WireGrant     SlopeName = "wire.grant"
	WireProgress  SlopeName = "wire.progress"
	WireEnded     SlopeName = "wire.ended"
	WireLeaving   SlopeName = "wire.leaving"
	WireShard     SlopeName = "wire.shard"
	WireHeartbeat SlopeName = "wire.heartbeat"
)

// nameLengths are lengths of workspace names in bytes.
var nameLengths = []int{8, 16, 32}

func wireMeasurements() []measurement {
	return []measurement{
		frameMeasurement(WireUsage, "counters", []int{1, 10, 100, 1000}, func(n int) *peerpb.Envelope {
			return envelope(scheduler.SendUsage{Origin: "router-0001", Incarnation: sampleIncarnation, Entries: sampleUsage(n, 1e9)})
		}),
		frameMeasurement(WireDemand, "lines", []int{1, 10, 100, 630}, func(n int) *peerpb.Envelope {
			return envelope(scheduler.SendDemand{Demand: sampleDemand(n)})
		}),
		frameMeasurement(WireVersions, "objects", []int{10, 100, 630}, versionsEnvelope),
		frameMeasurement(WireObject, "workspaces of the team", []int{1, 10, 100}, func(n int) *peerpb.Envelope {
			return objectEnvelope("config/teams/team-0001", teamObject(1, n))
		}),
		frameMeasurement(WireRoot, "upstreams", []int{100, 1000, 10_000}, func(n int) *peerpb.Envelope {
			return objectEnvelope("config/root", rootObject(1, n))
		}),
		frameMeasurement(WireRootTeams, "teams", []int{10, 100, 630}, func(n int) *peerpb.Envelope {
			return objectEnvelope("config/root", rootObject(n, 0))
		}),
		frameMeasurement(WireGrant, "bytes of a workspace's name", nameLengths, grantEnvelope),
		frameMeasurement(WireProgress, "bytes of a workspace's name", nameLengths, func(n int) *peerpb.Envelope {
			return envelope(scheduler.SendProgress{
				Sequence: 1e12, Upstream: upstreamName(1), Service: serviceNamed(0), Workspace: workspaceOfLength(n), Cost: 30_000,
			})
		}),
		frameMeasurement(WireEnded, "bytes of a workspace's name", nameLengths, func(n int) *peerpb.Envelope {
			return envelope(scheduler.SendEnded{
				Sequence: 1e12, Upstream: upstreamName(1), Service: serviceNamed(0), Workspace: workspaceOfLength(n),
				Cost: 30_000, Outcome: scheduler.OutcomeServed,
			})
		}),
		frameMeasurement(WireLeaving, "bytes of an upstream's name", nameLengths, func(n int) *peerpb.Envelope {
			return envelope(scheduler.SendLeaving{Upstream: state.Upstream(workspaceOfLength(n)), Boot: "01J0000000"})
		}),
		frameMeasurement(WireHeartbeat, "members", []int{0, 100, 730}, heartbeatEnvelope),
		{
			name: WireVMs, unit: "B of JSON", sizeUnit: "VMs", sizes: []int{100, 1000, 10_000},
			measure: func(_ context.Context, n int) (float64, error) { return float64(len(vmList(n))), nil },
		},
		{
			name: WireShard, unit: "B", sizeUnit: "entries in the open segment", sizes: openSegmentSizes,
			measure: func(_ context.Context, n int) (float64, error) {
				value, err := sampleSegment(n).Encode()
				return float64(len(value)), err
			},
		},
	}
}

func frameMeasurement(name SlopeName, sizeUnit string, sizes []int, build func(int) *peerpb.Envelope) measurement {
	return measurement{
		name: name, unit: "B", sizeUnit: sizeUnit, sizes: sizes,
		measure: func(_ context.Context, n int) (float64, error) { return frameBytes(build(n)) },
	}
}

func frameBytes(env *peerpb.Envelope) (float64, error) {
	frame, err := wire.AppendFrame(nil, env)
	return float64(len(frame)), err
}

func envelope(a scheduler.Action) *peerpb.Envelope {
	env, _, _ := wire.ToEnvelope(a)
	return env
}

func grantEnvelope(n int) *peerpb.Envelope {
	return envelope(scheduler.SendGrant{Grant: scheduler.Grant{
		Sequence: 1e12, Service: serviceNamed(0), Workspace: workspaceOfLength(n),
		Upstream: upstreamName(1), Lifetime: grants.Lifetime, Reserved: 229 * state.CostUnit,
	}})
}

func workspaceOfLength(n int) state.Workspace { return state.Workspace(fmt.Sprintf("%0*d", n, 1)) }

func versionsEnvelope(n int) *peerpb.Envelope {
	m := &peerpb.ConfigVersions{}
	for i := range n {
		key := fmt.Sprintf("config/teams/%s", teamNamed(i))
		m.Versions = append(m.Versions, &peerpb.ConfigVersion{Key: key, Version: 1_000_000})
	}
	return &peerpb.Envelope{Body: &peerpb.Envelope_ConfigVersions{ConfigVersions: m}}
}

func objectEnvelope(key string, value []byte) *peerpb.Envelope {
	o := &peerpb.ConfigObject{Key: key, Version: 1_000_000, Value: value}
	return &peerpb.Envelope{Body: &peerpb.Envelope_ConfigObject{ConfigObject: o}}
}

func heartbeatEnvelope(n int) *peerpb.Envelope {
	beat := &peerpb.Heartbeat{Sequence: 100_000, Echo: 100_000, EchoHeldUs: 500_000}
	for i := range n {
		hello := sampleHello(i)
		beat.Members = append(beat.Members, &peerpb.Member{
			Router: string(hello.Router), DataCentre: string(hello.DataCentre),
			PeerAddress: hello.Address, Incarnation: uint64(hello.Incarnation),
		})
	}
	return &peerpb.Envelope{Body: &peerpb.Envelope_Heartbeat{Heartbeat: beat}}
}

// vmList returns the response of the platform with a list of n VMs.
func vmList(n int) []byte {
	var answer objectstore.VMsAnswer
	for i := range n {
		hello := sampleHello(i)
		answer.VMs = append(answer.VMs, objectstore.VM{
			Name: string(upstreamName(i)), Address: hello.Address, Role: "engine", DataCentre: hello.DataCentre,
		})
	}
	return mustMarshal(answer)
}

// meanOpenEntries returns the mean number of entries in an open segment, which
// is half of the number that fits. The argument segmentBytes is the slope of the
// size of a segment in bytes against its number of entries.
func meanOpenEntries(segmentBytes Slope) float64 {
	return max(0, claims.SegmentBytes-segmentBytes.Base) / segmentBytes.Rate / 2
}
