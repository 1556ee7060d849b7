package prefix

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestUncachedTokensStartAtFirstMissingPart(t *testing.T) {
	c := New(1000)
	a, b, own := Part{1, 100}, Part{2, 200}, Part{3, 50}
	require.Equal(t, 350, c.UncachedTokens([]Part{a, b, own}))
	c.Touch([]Part{a, b, own})
	require.Equal(t, 0, c.UncachedTokens([]Part{a, b, own}))
	require.Equal(t, 70, c.UncachedTokens([]Part{a, b, {4, 70}}))
	require.Equal(t, 250, c.UncachedTokens([]Part{{9, 0}, b, own}), "a part counts as cached only if all parts before it are cached")
}

func TestLeastRecentlyUsedPartIsEvicted(t *testing.T) {
	c := New(300)
	c.Touch([]Part{{1, 100}})
	c.Touch([]Part{{2, 100}})
	c.Touch([]Part{{1, 100}})
	c.Touch([]Part{{3, 150}})
	require.True(t, c.Contains(1))
	require.False(t, c.Contains(2))
	c.Clear()
	require.False(t, c.Contains(1))
}

func TestPartLargerThanTheCacheIsNotKept(t *testing.T) {
	c := New(100)
	c.Touch([]Part{{1, 500}})
	require.False(t, c.Contains(1))
}
