package cli_test

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"

	"github.com/figstile/figstile/capacity"
	"github.com/figstile/figstile/cmd/figstile/internal/cli"
)

const docsDir = "../../../../docs"

// outputBlock matches one table of docs/CAPACITY.md together with the command
// that prints it.
var outputBlock = regexp.MustCompile("(?s)<!-- output: figstile ([^\n]*) -->\n```\n.*?```\n")

// TestCapacityPageIsCurrent compares the tables of docs/CAPACITY.md with the
// output of the commands that they name. With -update it rewrites the tables.
func TestCapacityPageIsCurrent(t *testing.T) {
	page, err := os.ReadFile(filepath.Join(docsDir, "CAPACITY.md"))
	require.NoError(t, err)
	require.Regexp(t, outputBlock, string(page))
	current := outputBlock.ReplaceAllStringFunc(string(page), func(old string) string {
		command := outputBlock.FindStringSubmatch(old)[1]
		return "<!-- output: figstile " + command + " -->\n```\n" + runWithoutRouter(t, strings.Fields(command)...) + "```\n"
	})
	goldie.New(t, goldie.WithFixtureDir(docsDir), goldie.WithNameSuffix(".md")).Assert(t, "CAPACITY", []byte(current))
}

// runWithoutRouter runs a command that calls no router and returns its output.
func runWithoutRouter(t *testing.T, args ...string) string {
	t.Helper()
	var out, errs bytes.Buffer
	code := cli.Main(context.Background(), cli.Environment{
		Args: args, Getenv: func(string) string { return "" }, Stdout: &out, Stderr: &errs, Version: "test",
	})
	require.Zero(t, code, errs.String())
	return out.String()
}

func TestCapacityFlagsReplaceTheProfile(t *testing.T) {
	var report capacity.Report
	out := runWithoutRouter(t, "capacity", "--profile=destination", "--routers=100", "--max-mb=64", "--output=json")
	require.NoError(t, json.Unmarshal([]byte(out), &report))
	want := capacity.TargetFleet()
	want.Routers, want.MaxMB = 100, 64
	require.Equal(t, want, report.Fleet)
}
