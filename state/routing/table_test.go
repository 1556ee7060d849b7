package routing

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestLongestPrefixOfTheHostWins(t *testing.T) {
	table := NewTable(Config{Routes: []Route{
		{Name: "short", Host: "h.example", Prefix: "/a/"},
		{Name: "long", Host: "h.example", Prefix: "/a/b/"},
		{Name: "six", Host: "[::1]", Prefix: "/"},
		{Name: "other", Host: "g.example", Prefix: "/a/b/c/"},
	}})
	for _, c := range []struct{ host, path, want string }{
		{"h.example", "/a/x", "short"},
		{"H.Example:8080", "/a/b/c/x", "long"},
		{"h.example", "/a", ""},
		{"[::1]", "/x", "six"},
		{"[::1]:80", "/x", "six"},
		{"h.example", "/", ""},
		{"none.example", "/a/", ""},
	} {
		route, ok := table.Route(c.host, c.path)
		require.Equal(t, c.want != "", ok, c)
		if ok {
			require.Equal(t, c.want, route.Name, c)
		}
	}
}

func TestWorkspacesByKey(t *testing.T) {
	table := NewTable(Config{Workspaces: []Workspace{{Name: "w", Keys: []string{"k1", "k2"}}}})
	ws, ok := table.Workspace("k2")
	require.True(t, ok)
	require.EqualValues(t, "w", ws)
	_, ok = table.Workspace("")
	require.False(t, ok)
}

// A route whose kind was never set must not be repeated.
func TestZeroRouteIsNotRepeated(t *testing.T) {
	require.False(t, (&Route{}).Repeatable())
	require.False(t, (&Route{Kind: Stream}).Repeatable())
	require.True(t, (&Route{Kind: Stream, Resumable: true}).Repeatable())
}

// For any set of routes, the route found must have the longest prefix that
// matches the path.
func TestRouteMatchesLinearSearch(t *testing.T) {
	segment := rapid.SampledFrom([]string{"a/", "b/", "ab/"})
	rapid.Check(t, func(t *rapid.T) {
		path := func(label string) string {
			p := "/"
			for _, s := range rapid.SliceOfN(segment, 0, 4).Draw(t, label) {
				p += s
			}
			return p
		}
		var config Config
		for range rapid.IntRange(0, 6).Draw(t, "routes") {
			config.Routes = append(config.Routes, Route{Host: "h", Prefix: path("prefix")})
		}
		requested := path("path")
		longest := -1
		for _, r := range config.Routes {
			if len(r.Prefix) <= len(requested) && requested[:len(r.Prefix)] == r.Prefix {
				longest = max(longest, len(r.Prefix))
			}
		}
		found, ok := NewTable(config).Route("h", requested)
		if ok != (longest >= 0) || ok && len(found.Prefix) != longest {
			t.Fatalf("%q: found %v, want length %d", requested, found, longest)
		}
	})
}
