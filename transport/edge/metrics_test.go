package edge

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/figstile/figstile/coordination/placement"
	"github.com/figstile/figstile/state"
)

// One router does not know routes that were added ten seconds ago. Its metrics
// must show how long it has received no update, or operators cannot find the
// cause.
func TestAgesOfViews(t *testing.T) {
	f := newFixture()
	require.Zero(t, f.dispatcher.viewAges())
	f.dispatcher.confirmConfig(0, sourceStore, f.clock.now())
	f.dispatcher.receiveLoads("r2", map[state.Upstream]placement.Load{}, true)
	f.clock.advance(2 * time.Second)
	f.dispatcher.receiveLoads("r3", map[state.Upstream]placement.Load{}, true)
	f.clock.advance(time.Second)
	require.Equal(t, viewAges{configuration: 3 * time.Second, loads: 3 * time.Second}, f.dispatcher.viewAges())
}
