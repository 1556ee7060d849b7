package fencing

import (
	"slices"

	"github.com/figstile/figstile/state"
)

// DesiredState holds the models and the role that an engine should have.
type DesiredState struct {
	Models []state.Model
	// Role is the desired role; empty if the engine's role does not matter.
	Role string
}

// OrderKind is the kind of change that an order requests.
type OrderKind string

// The kinds of orders.
const (
	LoadModel   OrderKind = "load_model"
	UnloadModel OrderKind = "unload_model"
	SetRole     OrderKind = "set_role"
)

// Order is an order to an engine. Orders are idempotent: an order names the
// state to reach, so sending it twice has the same effect as sending it once.
type Order struct {
	Kind   OrderKind
	Model  state.Model
	Role   string
	Number uint64
}

// confirmedRole is the role that an engine last confirmed, and the boot id of
// the engine at that time. Load reports do not contain the role, so the
// confirmation is the only source for it.
type confirmedRole struct {
	boot string
	role string
}

// missingOrders compares the models in the engine's report with the desired
// state and returns the orders that are missing. Unloads come first because
// they free the memory that the loads need.
func missingOrders(desired DesiredState, report state.LoadReport, confirmed confirmedRole) []Order {
	var orders []Order
	for _, loadedModel := range report.Models {
		if !slices.Contains(desired.Models, loadedModel) {
			orders = append(orders, Order{Kind: UnloadModel, Model: loadedModel})
		}
	}
	for _, desiredModel := range desired.Models {
		if !slices.Contains(report.Models, desiredModel) {
			orders = append(orders, Order{Kind: LoadModel, Model: desiredModel})
		}
	}
	if desired.Role != "" && confirmed != (confirmedRole{boot: report.Boot, role: desired.Role}) {
		orders = append(orders, Order{Kind: SetRole, Role: desired.Role})
	}
	return orders
}
