package membership

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// VMs are replaced all day. A peer goes for good: its address is dialled with
// back-off and forgotten in the end, while a seed is dialled for ever. Without
// that, every router would dial every address the fleet ever had.
func TestAddressesOfGoneRoutersAreForgotten(t *testing.T) {
	m := New(Config{Self: Hello{Fleet: "f", Version: 1, Router: "a", Incarnation: 1, Address: "10.0.0.1:7"}, Seed: 1})
	now := epoch
	dials := make(map[string]int)
	step := func(event Event) {
		for _, a := range m.Step(now, event) {
			if dial, ok := a.(Dial); ok {
				dials[dial.Address]++
				m.Step(now, DialFailed{Address: dial.Address})
			}
		}
	}
	step(Seeded{Addresses: []string{"10.0.0.9:7"}})
	step(Greeted{Session: 1, Hello: Hello{Fleet: "f", Version: 1, Router: "b", Incarnation: 1, Address: "10.0.0.2:7"}})
	step(Closed{Session: 1})
	for passed := time.Duration(0); passed <= ForgetAfter+2*maxBackOff; passed += TickInterval {
		now = now.Add(TickInterval)
		step(Tick{})
	}
	require.Contains(t, m.targets.byAddress, "10.0.0.9:7")
	require.NotContains(t, m.targets.byAddress, "10.0.0.2:7")
	require.Empty(t, m.Members())
	most := int(ForgetAfter/(maxBackOff/2)) + 10
	require.Less(t, dials["10.0.0.2:7"], most, "dials back off")
}

// A faulty peer gossips addresses without end. They are bounded.
func TestGossipIsBounded(t *testing.T) {
	m := New(Config{Self: Hello{Fleet: "f", Version: 1, Router: "a", Incarnation: 1}, Seed: 1})
	m.Step(epoch, Greeted{Session: 1, Hello: Hello{Fleet: "f", Version: 1, Router: "b", Incarnation: 1}})
	var told []Member
	for i := range 2 * MaxTargets {
		told = append(told, Member{Router: "x", Address: time.Duration(i).String()})
	}
	m.Step(epoch, HeartbeatHeard{Session: 1, Members: told})
	require.Len(t, m.targets.byAddress, MaxTargets)
}
