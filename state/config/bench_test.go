package config_test

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/figstile/figstile/state"
	"github.com/figstile/figstile/state/config"
)

// largeTree returns 40 teams with 3 workspaces each and 2,560 upstreams.
func largeTree() (config.Root, []config.Subtree) {
	var root config.Root
	var subtrees []config.Subtree
	service := config.Service{Name: "drafts", Kind: config.KindEngine}
	for i := range 2560 {
		service.Upstreams = append(service.Upstreams, config.Upstream{
			Name: state.Upstream(fmt.Sprintf("engine-%d", i)), URL: fmt.Sprintf("http://10.0.%d.%d:8000", i/256, i%256), DataCentre: "sala-laredo",
		})
	}
	root.Services = append(root.Services, service)
	for i := range 40 {
		team := state.Team(fmt.Sprintf("team-%d", i))
		root.Teams = append(root.Teams, config.TeamShare{Name: team, Share: 1})
		subtree := config.Subtree{Team: team}
		for j := range 3 {
			name := fmt.Sprintf("ws-%d-%d", i, j)
			subtree.Workspaces = append(subtree.Workspaces, config.Workspace{Name: state.Workspace(name), Weight: 1, Tokens: []string{config.DigestOf(name).String()}})
		}
		subtrees = append(subtrees, subtree)
	}
	return root, subtrees
}

func BenchmarkNewView(b *testing.B) {
	root, subtrees := largeTree()
	for b.Loop() {
		config.NewView(root, subtrees)
	}
}

func BenchmarkParseRoot(b *testing.B) {
	root, _ := largeTree()
	data, err := json.Marshal(root)
	if err != nil {
		b.Fatal(err)
	}
	b.SetBytes(int64(len(data)))
	for b.Loop() {
		if _, err := config.ParseRoot(data); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkAuthenticate(b *testing.B) {
	root, subtrees := largeTree()
	view := config.NewView(root, subtrees)
	for b.Loop() {
		if _, ok := view.Authenticate("ws-7-1"); !ok {
			b.Fatal("token not recognised")
		}
	}
}
