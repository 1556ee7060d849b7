package fencing

import (
	"slices"

	"github.com/figstile/figstile/state"
)

// Wish is what an engine is to hold and to be.
type Wish struct {
	Models []state.Model
	// Role is empty if the engine's role does not matter.
	Role string
}

// OrderKind is what an order asks for.
type OrderKind string

// The kinds of orders.
const (
	LoadModel   OrderKind = "load_model"
	UnloadModel OrderKind = "unload_model"
	SetRole     OrderKind = "set_role"
)

// Order is one order to an engine. Each is idempotent: it names the state to
// reach, so that giving it twice changes nothing.
type Order struct {
	Kind   OrderKind
	Model  state.Model
	Role   string
	Number uint64
}

// roleSet is the role an engine confirmed, and in which run. Load reports do
// not tell the role, so that a confirmation is all there is to go by.
type roleSet struct {
	boot string
	role string
}

// missingOrders compares what the engine reports with what is wanted. What
// must go is unloaded first, for the memory that the loads need.
func missingOrders(wish Wish, report state.LoadReport, confirmed roleSet) []Order {
	var orders []Order
	for _, held := range report.Models {
		if !slices.Contains(wish.Models, held) {
			orders = append(orders, Order{Kind: UnloadModel, Model: held})
		}
	}
	for _, wanted := range wish.Models {
		if !slices.Contains(report.Models, wanted) {
			orders = append(orders, Order{Kind: LoadModel, Model: wanted})
		}
	}
	if wish.Role != "" && confirmed != (roleSet{boot: report.Boot, role: wish.Role}) {
		orders = append(orders, Order{Kind: SetRole, Role: wish.Role})
	}
	return orders
}
