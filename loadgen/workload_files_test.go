package loadgen

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestCommittedWorkloadsParse(t *testing.T) {
	files, err := filepath.Glob("../docs/workloads/*.json")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, file := range files {
		data, err := os.ReadFile(file)
		require.NoError(t, err)
		_, err = Parse(data)
		require.NoError(t, err, file)
	}
}
