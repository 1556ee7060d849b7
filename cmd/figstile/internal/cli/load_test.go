package cli

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/figstile/figstile/loadgen"
)

// runWithoutRouter runs a command that calls no router and returns its exit code
// and error output.
func runWithoutRouter(t *testing.T, args ...string) (code int, stderr string) {
	t.Helper()
	var out, errs bytes.Buffer
	code = Main(t.Context(), Environment{Args: args, Getenv: func(string) string { return "" }, Stdout: &out, Stderr: &errs})
	return code, errs.String()
}

func TestDevWritesWorkloadThatLoadReads(t *testing.T) {
	file := filepath.Join(t.TempDir(), "workload.json")
	code, stderr := runWithoutRouter(t, "dev", "--sample", "aravena", "--load", "flood", "--duration", "3s", "--workload", file)
	require.Zero(t, code, stderr)
	data, err := os.ReadFile(file)
	require.NoError(t, err)
	w, err := loadgen.Parse(data)
	require.NoError(t, err)
	require.Equal(t, "aravena-flood", w.Name)
	require.InDelta(t, 3, w.Seconds, 0)
	require.Len(t, w.Workspaces, 16)
}

func TestLoadRejectsInvalidFlags(t *testing.T) {
	workload := filepath.Join("..", "..", "..", "..", "docs", "workloads", "aravena-idle.json")
	for want, args := range map[string][]string{
		"is not SERVICE=URL": {"--upstreams", "http://127.0.0.1:1"},
		"--admin names 1":    {"--admin", "http://127.0.0.1:1"},
		"no such file":       {"--fleet", "missing.json"},
	} {
		code, stderr := runWithoutRouter(t, append([]string{"load", "--workload", workload}, args...)...)
		require.Equal(t, exitUsage, code, stderr)
		require.Contains(t, stderr, want)
	}
	code, stderr := runWithoutRouter(t, "dev", "--sample", "santander")
	require.Equal(t, exitUsage, code)
	require.Contains(t, stderr, "cantabria")
}
