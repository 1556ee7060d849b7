package engine

import (
	"net/http"
	"slices"
	"sync"

	"github.com/figstile/figstile/standin/upstream"
	"github.com/figstile/figstile/state"
)

// Action is the action that an order requests.
type Action string

// The actions that an engine supports.
const (
	LoadModel   Action = "load_model"
	UnloadModel Action = "unload_model"
	SetRole     Action = "set_role"
)

// Order is the body of POST /orders.
type Order struct {
	Action  Action      `json:"action"`
	Model   state.Model `json:"model,omitempty"`
	Role    string      `json:"role,omitempty"`
	Fencing uint64      `json:"fencing"`
}

// OrderRecord is a received order and whether it was applied. Applied is set
// when the engine accepts the order, and stays set if the loading of a model is
// interrupted.
type OrderRecord struct {
	Order
	Applied bool `json:"applied"`
}

// OrdersAnswer is the body of GET /orders and of the answer to an order.
type OrdersAnswer struct {
	Models []state.Model `json:"models"`
	Role   string        `json:"role"`
	// HighestFencing is the highest fencing number received; zero if the engine
	// ignores fencing numbers.
	HighestFencing uint64        `json:"highest_fencing"`
	Stale          bool          `json:"stale,omitempty"`
	Orders         []OrderRecord `json:"orders,omitempty"`
}

// orderLog holds the orders received. It survives a crash of the engine.
type orderLog struct {
	mu             sync.Mutex
	role           string
	highestFencing uint64
	records        []OrderRecord
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order Order
	if !upstream.ReadJSON(w, r, &order) {
		return
	}
	if !slices.Contains([]Action{LoadModel, UnloadModel, SetRole}, order.Action) {
		upstream.WriteJSON(w, http.StatusBadRequest, e.answerWithoutOrders())
		return
	}
	if !e.admitOrder(order) {
		answer := e.answerWithoutOrders()
		answer.Stale = true
		upstream.WriteJSON(w, http.StatusConflict, answer)
		return
	}
	if err := e.applyOrder(r, order); err != nil {
		panic(http.ErrAbortHandler)
	}
	upstream.WriteJSON(w, http.StatusOK, e.answerWithoutOrders())
}

// admitOrder records an order and reports whether it is to be applied.
func (e *Engine) admitOrder(order Order) bool {
	e.orders.mu.Lock()
	defer e.orders.mu.Unlock()
	stale := e.opts.ChecksFencing && order.Fencing < e.orders.highestFencing
	e.orders.records = append(e.orders.records, OrderRecord{Order: order, Applied: !stale})
	if e.opts.ChecksFencing && !stale {
		e.orders.highestFencing = order.Fencing
	}
	return !stale
}

func (e *Engine) applyOrder(r *http.Request, order Order) error {
	switch order.Action {
	case SetRole:
		e.orders.mu.Lock()
		defer e.orders.mu.Unlock()
		e.orders.role = order.Role
	case UnloadModel:
		e.SetModelLoaded(order.Model, false)
	case LoadModel:
		if err := e.Host.Sleep(r.Context(), e.opts.LoadDelay); err != nil {
			return err
		}
		e.SetModelLoaded(order.Model, true)
	}
	return nil
}

// Orders returns the engine's models and role and the orders that it received.
func (e *Engine) Orders() OrdersAnswer {
	e.orders.mu.Lock()
	defer e.orders.mu.Unlock()
	return OrdersAnswer{
		Models:         e.Models(),
		Role:           e.orders.role,
		HighestFencing: e.orders.highestFencing,
		Orders:         slices.Clone(e.orders.records),
	}
}

func (e *Engine) answerWithoutOrders() OrdersAnswer {
	answer := e.Orders()
	answer.Orders = nil
	return answer
}

func (e *Engine) serveOrders(w http.ResponseWriter, _ *http.Request) {
	upstream.WriteJSON(w, http.StatusOK, e.Orders())
}
