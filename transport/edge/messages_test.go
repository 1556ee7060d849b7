package edge

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/figstile/figstile/coordination/placement"
	"github.com/figstile/figstile/coordination/prefix"
	"github.com/figstile/figstile/protocol/peerpb"
	"github.com/figstile/figstile/state"
)

// linkMessage returns loads and prompts that a link of a large fleet carries
// many times a second.
func linkMessage() (map[state.Upstream]placement.Load, []placement.PlacedPrompt) {
	loads := make(map[state.Upstream]placement.Load)
	var prompts []placement.PlacedPrompt
	for i := range 100 {
		id := state.Upstream(fmt.Sprintf("i-%010x", i*7919))
		loads[id] = placement.Load{Running: i, PendingPrefill: 100 * i}
		if i%2 == 0 {
			prompts = append(prompts, placement.PlacedPrompt{
				Upstream: id, Interferes: i%10 == 0,
				Prompt: []prefix.Part{{ID: uint64(i) * 1e15, Tokens: 800}, {ID: uint64(i)*3e15 + 5, Tokens: 4500}, {ID: uint64(i)*7e15 + 9, Tokens: 6600}},
			})
		}
	}
	return loads, prompts
}

func TestUpstreamNamesAreSentOncePerSession(t *testing.T) {
	loads, prompts := linkMessage()
	var sender upstreamNumbering
	var receiver upstreamNames
	for round := range 3 {
		m := sender.loadsMessage(loads, prompts)
		require.Equal(t, round == 0, m.GetReset_())
		require.Equal(t, round > 0, len(m.GetNames()) == 0, "names are sent once")
		receiver = receiver.extend(m)
		gotLoads, ok := receiver.loads(m)
		require.True(t, ok)
		require.Equal(t, loads, gotLoads)
		gotPrompts, ok := receiver.prompts(m)
		require.True(t, ok)
		require.Equal(t, prompts, gotPrompts)
	}
	receiver = receiver.extend(new(upstreamNumbering).loadsMessage(nil, nil))
	require.Empty(t, receiver, "a reset clears the names")
}

// No part of an inconsistent message may be applied.
func TestMalformedLoadsAreRejected(t *testing.T) {
	n := upstreamNames{"a", "b"}
	for name, m := range map[string]*peerpb.Loads{
		"unknown number":             {Upstreams: []uint32{2}, Running: []uint32{1}, Unread: []uint32{1}},
		"lists differ":               {Upstreams: []uint32{0, 1}, Running: []uint32{1}, Unread: []uint32{1, 1}},
		"unknown prompt upstream":    {PromptUpstreams: []uint32{2}, PromptParts: []uint32{0}},
		"too many parts":             {PromptUpstreams: []uint32{0}, PromptParts: []uint32{2}, Parts: []uint64{1}, PartTokens: []uint32{1}},
		"tokens missing":             {PromptUpstreams: []uint32{0}, PromptParts: []uint32{1}, Parts: []uint64{1}},
		"unknown interfering prompt": {PromptUpstreams: []uint32{0}, PromptParts: []uint32{0}, Interfering: []uint32{1}},
	} {
		_, loads := n.loads(m)
		_, prompts := n.prompts(m)
		require.False(t, loads && prompts, name)
	}
}

func BenchmarkLinkMessage(b *testing.B) {
	loads, prompts := linkMessage()
	var sender upstreamNumbering
	receiver := upstreamNames(nil).extend(sender.loadsMessage(loads, prompts))
	encode := func() []byte {
		frame, err := proto.Marshal(sender.loadsMessage(loads, prompts))
		if err != nil {
			b.Fatal(err)
		}
		return frame
	}
	frame := encode()
	b.Run("encode", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			encode()
		}
	})
	b.Run("decode", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			var m peerpb.Loads
			if err := proto.Unmarshal(frame, &m); err != nil {
				b.Fatal(err)
			}
			_, _ = receiver.loads(&m)
			_, _ = receiver.prompts(&m)
		}
	})
}
