package membership

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// VMs are replaced often. The address of a departed peer must be dialled with
// back-off and then forgotten, while a seed is dialled for ever. Otherwise
// every router would go on dialling every address that the fleet ever had.
func TestAddressesOfDepartedRoutersExpire(t *testing.T) {
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
	step(SeedsAdded{Addresses: []string{"10.0.0.9:7"}})
	step(HelloReceived{Session: 1, Hello: Hello{Fleet: "f", Version: 1, Router: "b", Incarnation: 1, Address: "10.0.0.2:7"}})
	step(SessionClosed{Session: 1})
	for elapsed := time.Duration(0); elapsed <= ForgetAfter+2*maxBackOff; elapsed += TickInterval {
		now = now.Add(TickInterval)
		step(Tick{})
	}
	require.Contains(t, m.addresses.byAddress, "10.0.0.9:7")
	require.NotContains(t, m.addresses.byAddress, "10.0.0.2:7")
	require.Empty(t, m.Members())
	maxDials := int(ForgetAfter/(maxBackOff/2)) + 10
	require.Less(t, dials["10.0.0.2:7"], maxDials, "dials to a departed peer must back off")
}

// A faulty peer gossips an unlimited number of addresses. The machine must
// store at most MaxAddresses.
func TestGossipedAddressesAreBounded(t *testing.T) {
	m := New(Config{Self: Hello{Fleet: "f", Version: 1, Router: "a", Incarnation: 1}, Seed: 1})
	m.Step(epoch, HelloReceived{Session: 1, Hello: Hello{Fleet: "f", Version: 1, Router: "b", Incarnation: 1}})
	var gossiped []Member
	for i := range 2 * MaxAddresses {
		gossiped = append(gossiped, Member{Router: "x", Address: time.Duration(i).String()})
	}
	m.Step(epoch, HeartbeatReceived{Session: 1, Members: gossiped})
	require.Len(t, m.addresses.byAddress, MaxAddresses)
}
