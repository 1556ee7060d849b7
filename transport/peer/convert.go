package peer

import (
	"github.com/figstile/figstile/coordination/membership"
	"github.com/figstile/figstile/protocol/peerpb"
	"github.com/figstile/figstile/protocol/wire"
	"github.com/figstile/figstile/state"
)

// maxMembers bounds the number of members in one heartbeat. It is large enough
// for a data centre with a thousand routers.
const maxMembers = 1024

// helloFrom converts and checks a peer's hello. For a malformed hello it
// returns an empty one, which membership refuses.
func helloFrom(m *peerpb.Hello) membership.Hello {
	for _, name := range []string{m.GetRouter(), m.GetDataCentre(), m.GetFleet()} {
		if len(name) > wire.MaxNameBytes {
			return membership.Hello{}
		}
	}
	if !validAddress(m.GetPeerAddress()) {
		return membership.Hello{}
	}
	return membership.Hello{
		Fleet:       m.GetFleet(),
		Version:     m.GetProtocolVersion(),
		Router:      state.Router(m.GetRouter()),
		DataCentre:  state.DataCentre(m.GetDataCentre()),
		Incarnation: state.Incarnation(m.GetIncarnation()),
		Address:     m.GetPeerAddress(),
		Draining:    m.GetDraining(),
		Capacity:    m.GetCapacity(),
	}
}

// helloEnvelope returns the message that opens or answers a handshake. If the
// refusal is RefusalIncarnation, laterIncarnation is the later incarnation that
// this router knows of the dialler; otherwise it is zero.
func helloEnvelope(h membership.Hello, refusal membership.Refusal, laterIncarnation state.Incarnation) *peerpb.Envelope {
	body := &peerpb.Hello{
		Fleet:           h.Fleet,
		Router:          string(h.Router),
		DataCentre:      string(h.DataCentre),
		Incarnation:     uint64(h.Incarnation),
		ProtocolVersion: h.Version,
		PeerAddress:     h.Address,
		Draining:        h.Draining,
		Refusal:         peerpb.Refusal(refusal),

		KnownIncarnation: uint64(laterIncarnation),
		Capacity:         h.Capacity,
	}
	return &peerpb.Envelope{Body: &peerpb.Envelope_Hello{Hello: body}}
}

// membersFrom converts the gossip of a heartbeat and omits members with an
// invalid address or name.
func membersFrom(list []*peerpb.Member) []membership.Member {
	var members []membership.Member
	for _, m := range list[:min(len(list), maxMembers)] {
		if !validAddress(m.GetPeerAddress()) || m.GetRouter() == "" || len(m.GetRouter()) > wire.MaxNameBytes {
			continue
		}
		members = append(members, membership.Member{
			Router:      state.Router(m.GetRouter()),
			DataCentre:  state.DataCentre(m.GetDataCentre()),
			Incarnation: state.Incarnation(m.GetIncarnation()),
			Address:     m.GetPeerAddress(),
		})
	}
	return members
}

func memberMessages(members []membership.Member) []*peerpb.Member {
	var list []*peerpb.Member
	for _, m := range members[:min(len(members), maxMembers)] {
		list = append(list, &peerpb.Member{
			Router:      string(m.Router),
			DataCentre:  string(m.DataCentre),
			PeerAddress: m.Address,
			Incarnation: uint64(m.Incarnation),
		})
	}
	return list
}
