package replay

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"
)

// tracesDir contains one directory per recorded run of real processes in which
// failures were injected. The runs are recorded again, with the command in
// docs/PROOFS.md, whenever a decision of the scheduler changes on purpose.
const tracesDir = "../testdata/traces"

// TestRecordedTracesPass replays every recorded run. The current scheduler must make
// the recorded decisions, and every stated outcome must hold over all records.
func TestRecordedTracesPass(t *testing.T) {
	dirs, err := filepath.Glob(filepath.Join(tracesDir, "*"))
	require.NoError(t, err)
	require.NotEmpty(t, dirs)
	for _, dir := range dirs {
		t.Run(filepath.Base(dir), func(t *testing.T) {
			report, err := CheckDir(dir)
			require.NoError(t, err)
			require.Zero(t, report.Failed, report.String())
			goldie.New(t).Assert(t, filepath.Base(dir), []byte(report.String()))
		})
	}
}

// The checks must detect faults, otherwise recorded runs that pass would prove
// nothing. Each case changes one line of a recorded run to what a faulty fleet
// would have recorded.
func TestDamagedTracesFail(t *testing.T) {
	cases := map[string]struct {
		run, file, old, new string
		want                string
	}{
		"a decision differs": {
			run: "killed-router", file: "router-2", old: `"Upstream":"engine-1","Attempt":1`, new: `"Upstream":"engine-2","Attempt":1`,
			want: "differences=1",
		},
		"a step is missing": {
			run: "killed-router", file: "router-2", old: `"sequence":7,`, new: `"sequence":8,`,
			want: "gaps=1",
		},
		"not run, but it ran": {
			run: "killed-router", file: "callers", old: `"result":0,"ran":1`, new: `"result":2005,"ran":0`,
			want: "told-not-run",
		},
		"an answer is another caller's": {
			run: "killed-router", file: "callers", old: `"answer_digest":"`, new: `"answer_digest":"0`,
			want: "whole-answers",
		},
		"settings revert": {
			run: "cut-from-platform", file: "router-1", old: `"key":"config/root","version":4`, new: `"key":"config/root","version":1`,
			want: "settings-never-revert",
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			dir := damagedCopy(t, filepath.Join(tracesDir, c.run), c.file, c.old, c.new)
			report, err := CheckDir(dir)
			require.NoError(t, err)
			require.Positive(t, report.Failed)
			require.Contains(t, failedLines(report), c.want)
		})
	}
}

// damagedCopy copies a run and replaces the first occurrence of old in each file
// whose name starts with the given prefix. It returns the directory of the copy.
func damagedCopy(t *testing.T, run, filePrefix, old, replacement string) string {
	t.Helper()
	dir := t.TempDir()
	entries, err := os.ReadDir(run)
	require.NoError(t, err)
	damaged := false
	for _, entry := range entries {
		content, err := os.ReadFile(filepath.Join(run, entry.Name()))
		require.NoError(t, err)
		if strings.HasPrefix(entry.Name(), filePrefix) && strings.Contains(string(content), old) {
			content = []byte(strings.Replace(string(content), old, replacement, 1))
			damaged = true
		}
		require.NoError(t, os.WriteFile(filepath.Join(dir, entry.Name()), content, 0o600))
	}
	require.True(t, damaged, "no file of the run whose name starts with %s contains %s", filePrefix, old)
	return dir
}

func failedLines(r Report) string {
	var failed []string
	for _, line := range r.Lines {
		if strings.HasPrefix(line, "FAILED") {
			failed = append(failed, line)
		}
	}
	return strings.Join(failed, "\n")
}

func TestNoTrace(t *testing.T) {
	_, err := CheckDir(t.TempDir())
	require.ErrorIs(t, err, ErrNoTrace)
}
