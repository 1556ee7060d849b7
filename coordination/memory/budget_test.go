package memory

import (
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Many long messages at once must not exceed the limit, and what they have
// released must be available again.
func TestReservationsStayWithinTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.Int64Range(1, 1000).Draw(t, "limit")
		budget := NewBudget(limit)
		reservations := make([]Reservation, 5)
		sizes := make([]int64, len(reservations))
		for i := range reservations {
			reservations[i].Budget = budget
		}
		for range rapid.IntRange(1, 50).Draw(t, "steps") {
			i := rapid.IntRange(0, len(reservations)-1).Draw(t, "message")
			if rapid.Bool().Draw(t, "release") {
				reservations[i].Release()
				sizes[i] = 0
				continue
			}
			size := rapid.Int64Range(0, 1200).Draw(t, "size")
			if reservations[i].TryGrow(size) {
				sizes[i] = max(sizes[i], size)
			}
			var total int64
			for _, s := range sizes {
				total += s
			}
			if budget.Held() != total || total > limit {
				t.Fatalf("held %d, want %d of %d", budget.Held(), total, limit)
			}
		}
		for i := range reservations {
			reservations[i].Release()
		}
		if budget.Held() != 0 {
			t.Fatalf("%d bytes are held after all messages ended", budget.Held())
		}
	})
}

func TestUnlimitedBudget(t *testing.T) {
	require.True(t, NewBudget(0).TryReserve(1<<40))
	none := Reservation{}
	require.True(t, none.TryGrow(1<<40))
	none.Release()
}

func TestBudgetIsSharedByConcurrentMessages(t *testing.T) {
	budget := NewBudget(100)
	var messages sync.WaitGroup
	for range 8 {
		messages.Go(func() {
			r := Reservation{Budget: budget}
			for range 1000 {
				r.TryGrow(20)
				r.Release()
			}
		})
	}
	messages.Wait()
	require.Zero(t, budget.Held())
}

// A message that does not fit must not take the room of one that does while it is
// refused.
func TestRefusedMessageTakesNoRoom(t *testing.T) {
	budget := NewBudget(100)
	ended := make(chan struct{})
	var refused sync.WaitGroup
	for range 4 {
		refused.Go(func() {
			for {
				select {
				case <-ended:
					return
				default:
					if budget.TryReserve(101) {
						t.Error("a message beyond the limit was admitted")
						return
					}
				}
			}
		})
	}
	for range 100_000 {
		if !budget.TryReserve(100) {
			t.Error("a message was refused although nothing was held")
			break
		}
		budget.Release(100)
	}
	close(ended)
	refused.Wait()
}
