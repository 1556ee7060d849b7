package objectstore

import (
	"errors"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// FuzzDecodePut decodes arbitrary answers to a write. A write may count as done
// only with a version, and as without effect only if the platform states so.
func FuzzDecodePut(f *testing.F) {
	f.Add(200, []byte(`{"version":7}`))
	f.Add(200, []byte(`{"version":0}`))
	f.Add(412, []byte(`{"code":"conflict","current":7}`))
	f.Add(503, []byte(`{"code":"unavailable"}`))
	f.Add(429, []byte(`{"code":"rate_limited","message":"slow down"}`))
	f.Add(503, []byte(`<html>`))
	f.Add(404, []byte(`{"code":"not_found"}`))
	f.Fuzz(func(t *testing.T, status int, body []byte) {
		version, err := decodePut("a", httpAnswer{status: status, body: body})
		if err == nil {
			require.NotZero(t, version)
			require.Equal(t, http.StatusOK, status)
			return
		}
		require.Zero(t, version)
		if errors.Is(err, ErrUnavailable) {
			require.Contains(t, []int{http.StatusServiceUnavailable, http.StatusTooManyRequests}, status)
		}
		if status == http.StatusOK || status >= http.StatusInternalServerError && status != http.StatusServiceUnavailable {
			require.ErrorIs(t, err, ErrUnknownOutcome)
		}
	})
}

// FuzzDecodeList decodes arbitrary answers to a list or a watch. The result
// must not contain objects outside the prefix, or versions above that of the
// list.
func FuzzDecodeList(f *testing.F) {
	f.Add(200, []byte(`{"objects":[{"key":"a/b","version":3,"value":"eA=="}],"version":4}`))
	f.Add(200, []byte(`{"objects":[{"key":"b","version":3}],"version":4}`))
	f.Add(200, []byte(`{"objects":[{"key":"a/b","version":5}],"version":4}`))
	f.Add(410, []byte(`{"code":"too_old"}`))
	f.Add(200, []byte(`{"objects":[{"key":"a/b"`))
	f.Fuzz(func(t *testing.T, status int, body []byte) {
		var list ListAnswer
		if err := decodeRead("a/", httpAnswer{status: status, body: body}, &list); err != nil {
			require.NotErrorIs(t, err, ErrUnknownOutcome)
			return
		}
		objects, version, err := checkList("a/", list)
		if err != nil {
			require.ErrorIs(t, err, ErrUnavailable)
			return
		}
		for _, object := range objects {
			require.Regexp(t, "^a/", object.Key)
			require.True(t, 0 < object.Version && object.Version <= version)
		}
	})
}
