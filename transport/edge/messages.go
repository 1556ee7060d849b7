package edge

import (
	"github.com/figstile/figstile/coordination/placement"
	"github.com/figstile/figstile/coordination/prefix"
	"github.com/figstile/figstile/protocol/peerpb"
	"github.com/figstile/figstile/protocol/wire"
	"github.com/figstile/figstile/state"
)

// upstreamNumbering assigns numbers to the upstreams that are sent to a peer,
// so that each name is sent once per session. The zero value is usable.
type upstreamNumbering struct {
	numbers map[state.Upstream]uint32
	// unsentNames are the names that were not sent to the peer yet.
	unsentNames []string
}

func (n *upstreamNumbering) number(id state.Upstream) uint32 {
	number, ok := n.numbers[id]
	if !ok {
		number = uint32(len(n.numbers))
		n.numbers[id] = number
		n.unsentNames = append(n.unsentNames, string(id))
	}
	return number
}

// loadsMessage builds a message with loads and placed prompts for a peer that
// knows the numbers assigned so far.
func (n *upstreamNumbering) loadsMessage(loads map[state.Upstream]placement.Load, prompts []placement.PlacedPrompt) *peerpb.Loads {
	message := &peerpb.Loads{Reset_: n.numbers == nil}
	if n.numbers == nil {
		n.numbers = make(map[state.Upstream]uint32)
	}
	for id, load := range loads {
		message.Upstreams = append(message.Upstreams, n.number(id))
		message.Running = append(message.Running, uint32(max(load.Running, 0)))
		message.Unread = append(message.Unread, uint32(max(load.PendingPrefill, 0)))
	}
	for i, placed := range prompts {
		message.PromptUpstreams = append(message.PromptUpstreams, n.number(placed.Upstream))
		message.PromptParts = append(message.PromptParts, uint32(len(placed.Prompt)))
		for _, part := range placed.Prompt {
			message.Parts = append(message.Parts, part.ID)
			message.PartTokens = append(message.PartTokens, uint32(part.Tokens))
		}
		if placed.Interferes {
			message.Interfering = append(message.Interfering, uint32(i))
		}
	}
	message.Names, n.unsentNames = n.unsentNames, nil
	return message
}

func loadsEnvelope(loads map[state.Upstream]placement.Load, full bool) *peerpb.Envelope {
	message := new(upstreamNumbering).loadsMessage(loads, nil)
	message.Full = full
	return &peerpb.Envelope{Body: &peerpb.Envelope_Loads{Loads: message}}
}

// upstreamNames are the names of the upstreams that a peer has numbered, by
// their number.
type upstreamNames []state.Upstream

// extend adds the names of a message.
func (n upstreamNames) extend(m *peerpb.Loads) upstreamNames {
	if m.GetReset_() {
		n = nil
	}
	for _, name := range m.GetNames()[:min(len(m.GetNames()), max(wire.MaxEntries-len(n), 0))] {
		n = append(n, state.Upstream(name))
	}
	return n
}

// loads returns the loads of a message. The second result is false if the
// message is malformed.
func (n upstreamNames) loads(m *peerpb.Loads) (map[state.Upstream]placement.Load, bool) {
	if len(m.GetUpstreams()) != len(m.GetRunning()) || len(m.GetUpstreams()) != len(m.GetUnread()) {
		return nil, false
	}
	loads := make(map[state.Upstream]placement.Load, len(m.GetUpstreams()))
	for i, number := range m.GetUpstreams() {
		if int(number) >= len(n) {
			return nil, false
		}
		loads[n[number]] = placement.Load{Running: int(m.GetRunning()[i]), PendingPrefill: int(m.GetUnread()[i])}
	}
	return loads, true
}

// prompts returns the placed prompts of a message. The second result is false
// if the message is malformed.
func (n upstreamNames) prompts(m *peerpb.Loads) ([]placement.PlacedPrompt, bool) {
	if len(m.GetPromptUpstreams()) != len(m.GetPromptParts()) || len(m.GetParts()) != len(m.GetPartTokens()) {
		return nil, false
	}
	parts := make([]prefix.Part, len(m.GetParts()))
	for i, id := range m.GetParts() {
		parts[i] = prefix.Part{ID: id, Tokens: int(m.GetPartTokens()[i])}
	}
	prompts := make([]placement.PlacedPrompt, 0, len(m.GetPromptUpstreams()))
	for i, number := range m.GetPromptUpstreams() {
		count := int(m.GetPromptParts()[i])
		if int(number) >= len(n) || count > len(parts) {
			return nil, false
		}
		prompts = append(prompts, placement.PlacedPrompt{Upstream: n[number], Prompt: parts[:count:count]})
		parts = parts[count:]
	}
	for _, i := range m.GetInterfering() {
		if int(i) >= len(prompts) {
			return nil, false
		}
		prompts[i].Interferes = true
	}
	return prompts, true
}
