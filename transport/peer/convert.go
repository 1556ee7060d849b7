package peer

import (
	"github.com/figstile/figstile/coordination/membership"
	"github.com/figstile/figstile/protocol/peerpb"
	"github.com/figstile/figstile/protocol/wire"
	"github.com/figstile/figstile/state"
)

// maxMembers bounds the list in one heartbeat. It leaves room for a fleet of a
// thousand routers in one data centre.
const maxMembers = 1024

// helloFrom checks a peer's hello. A malformed one comes back empty, which
// membership refuses.
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

// helloEnvelope answers or opens a handshake; known is the later incarnation
// of the dialler that a refusal is for, else zero.
func helloEnvelope(h membership.Hello, refusal membership.Refusal, known state.Incarnation) *peerpb.Envelope {
	body := &peerpb.Hello{
		Fleet:           h.Fleet,
		Router:          string(h.Router),
		DataCentre:      string(h.DataCentre),
		Incarnation:     uint64(h.Incarnation),
		ProtocolVersion: h.Version,
		PeerAddress:     h.Address,
		Draining:        h.Draining,
		Refusal:         peerpb.Refusal(refusal),

		KnownIncarnation: uint64(known),
		Capacity:         h.Capacity,
	}
	return &peerpb.Envelope{Body: &peerpb.Envelope_Hello{Hello: body}}
}

// membersFrom checks the gossip of a heartbeat and leaves out what cannot be
// dialled or named.
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
