package fencing

import (
	"slices"

	"github.com/figstile/figstile/state"
)

// DesiredState is what an engine is to hold and to be.
type DesiredState struct {
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

// confirmedRole is the role an engine confirmed, and in which run. Load reports do
// not tell the role, so that a confirmation is all there is to go by.
type confirmedRole struct {
	boot string
	role string
}

// missingOrders compares what the engine reports with what is wanted. What
// must go is unloaded first, for the memory that the loads need.
func missingOrders(desired DesiredState, report state.LoadReport, confirmed confirmedRole) []Order {
	var orders []Order
	for _, loaded := range report.Models {
		if !slices.Contains(desired.Models, loaded) {
			orders = append(orders, Order{Kind: UnloadModel, Model: loaded})
		}
	}
	for _, wanted := range desired.Models {
		if !slices.Contains(report.Models, wanted) {
			orders = append(orders, Order{Kind: LoadModel, Model: wanted})
		}
	}
	if desired.Role != "" && confirmed != (confirmedRole{boot: report.Boot, role: desired.Role}) {
		orders = append(orders, Order{Kind: SetRole, Role: desired.Role})
	}
	return orders
}
