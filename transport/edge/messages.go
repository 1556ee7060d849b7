package edge

import (
	"github.com/figstile/figstile/coordination/placement"
	"github.com/figstile/figstile/coordination/prefix"
	"github.com/figstile/figstile/protocol/peerpb"
	"github.com/figstile/figstile/state"
)

func loadsMessage(loads map[state.Upstream]placement.Load) *peerpb.Loads {
	message := &peerpb.Loads{}
	for id, load := range loads {
		message.Entries = append(message.Entries, &peerpb.UpstreamLoad{
			Upstream: string(id), Running: uint32(load.Running), Unread: uint32(max(load.Unread, 0)),
		})
	}
	return message
}

func promptMessage(placed placement.Placed) *peerpb.PlacedPrompt {
	message := &peerpb.PlacedPrompt{Upstream: string(placed.Upstream), Interferes: placed.Interferes}
	for _, part := range placed.Prompt {
		message.Parts = append(message.Parts, part.ID)
		message.Tokens = append(message.Tokens, uint32(part.Tokens))
	}
	return message
}

func promptMessages(placed []placement.Placed) []*peerpb.PlacedPrompt {
	var messages []*peerpb.PlacedPrompt
	for _, p := range placed {
		messages = append(messages, promptMessage(p))
	}
	return messages
}

func placedPrompts(messages []*peerpb.PlacedPrompt) []placement.Placed {
	var all []placement.Placed
	for _, m := range messages {
		placed := placement.Placed{Upstream: state.Upstream(m.GetUpstream()), Interferes: m.GetInterferes()}
		for i, id := range m.GetParts() {
			if i < len(m.GetTokens()) {
				placed.Prompt = append(placed.Prompt, prefix.Part{ID: id, Tokens: int(m.GetTokens()[i])})
			}
		}
		all = append(all, placed)
	}
	return all
}
