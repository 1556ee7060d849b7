package upstream

import (
	"encoding/json"
	"errors"
	"testing"

	"github.com/stretchr/testify/require"
)

// FuzzDecodeReport decodes arbitrary answers. A report that is accepted must be
// within the limits and must be unchanged after encoding and decoding it again.
func FuzzDecodeReport(f *testing.F) {
	f.Add([]byte(`{"upstream":"u","boot":"u-1","running":1,"waiting":2,"slots":8,"models":["m"]}`))
	f.Add([]byte(`{"upstream":"other","boot":"u-1"}`))
	f.Add([]byte(`{"upstream":"u","boot":"u-1","running":-1}`))
	f.Add([]byte(`{"upstream":"u","boot":"u-1","slots":1e9}`))
	f.Add([]byte(`{"upstream":"u","boot":"u-1","models":[""]}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		report, err := DecodeReport("u", body)
		if err != nil {
			var fault *ReportError
			require.True(t, errors.As(err, &fault))
			require.Zero(t, report)
			return
		}
		require.Empty(t, reportFault("u", report))
		text, err := json.Marshal(report)
		require.NoError(t, err)
		again, err := DecodeReport("u", text)
		require.NoError(t, err)
		if len(report.Models) == 0 {
			report.Models = nil
		}
		require.Equal(t, report, again)
	})
}
