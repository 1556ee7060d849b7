package wire

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// largeObject returns an object of the size of a configuration with 1,400
// routes.
func largeObject(version int) []byte {
	var b strings.Builder
	fmt.Fprintf(&b, `{"Version":%d,"Routes":[`, version)
	for i := range 1400 {
		fmt.Fprintf(&b, `{"Name":"route-%d-%x","Hostname":"host%d.example","PathPrefix":"/%x/","Type":"streaming","TimeoutMs":15000,"Service":"drafts"},`,
			i, i*7919+1, i%30, i*104729)
	}
	fmt.Fprintf(&b, `{"Name":"last-%d"}]}`, version)
	return []byte(b.String())
}

// The frame of an object that differs from its base in one route must be much
// smaller than a whole object.
func TestChangeOfALargeObjectIsSmall(t *testing.T) {
	before, after := largeObject(1), largeObject(2)
	change := Compress(after, before)
	require.Less(t, len(change), 1000)
	value, err := Decompress(change, before)
	require.NoError(t, err)
	require.Equal(t, after, value)
}

func TestCompressWithoutBase(t *testing.T) {
	value := largeObject(1)
	frame := Compress(value, nil)
	require.Less(t, len(frame), len(value)/4)
	decompressed, err := Decompress(frame, nil)
	require.NoError(t, err)
	require.Equal(t, value, decompressed)
}

// A peer may send garbage, or a difference from another version. Each must lead
// to an error.
func TestDecompressRejectsInvalidFrames(t *testing.T) {
	before, after := largeObject(1), largeObject(2)
	change := Compress(after, before)
	for name, c := range map[string]struct{ frame, base []byte }{
		"garbage":    {[]byte("garbage"), nil},
		"no base":    {change, nil},
		"wrong base": {change, largeObject(3)[:len(before)-2000]},
		"truncated":  {change[:len(change)-3], before},
	} {
		_, err := Decompress(c.frame, c.base)
		require.Error(t, err, name)
	}
}

func BenchmarkCompressChange(b *testing.B) {
	before, after := largeObject(1), largeObject(2)
	b.ReportAllocs()
	for b.Loop() {
		Compress(after, before)
	}
}

func BenchmarkDecompressChange(b *testing.B) {
	before, after := largeObject(1), largeObject(2)
	change := Compress(after, before)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := Decompress(change, before); err != nil {
			b.Fatal(err)
		}
	}
}
