package trace

import (
	"encoding/json"
	"fmt"
	"reflect"

	"github.com/figstile/figstile/coordination/scheduler"
)

// events lists every event of the scheduler.
var events = registryOf[scheduler.Event](
	scheduler.Configured{},
	scheduler.PeersChanged{},
	scheduler.Arrived{},
	scheduler.Left{},
	scheduler.Reported{},
	scheduler.Unreachable{},
	scheduler.UpstreamLeaving{},
	scheduler.DemandHeard{},
	scheduler.GrantHeard{},
	scheduler.DeclineHeard{},
	scheduler.ProgressHeard{},
	scheduler.EndedHeard{},
	scheduler.UsageHeard{},
	scheduler.CrashHeard{},
	scheduler.Progressed{},
	scheduler.Ended{},
	scheduler.Drain{},
	scheduler.Tick{},
)

// actions lists every action of the scheduler.
var actions = registryOf[scheduler.Action](
	scheduler.Dispatch{},
	scheduler.Refuse{},
	scheduler.SendDemand{},
	scheduler.SendGrant{},
	scheduler.SendDecline{},
	scheduler.SendProgress{},
	scheduler.SendEnded{},
	scheduler.SendUsage{},
	scheduler.SendCrash{},
	scheduler.SendLeaving{},
	scheduler.Owned{},
	scheduler.Drained{},
)

// registry maps the names of types to the types.
type registry[T any] map[string]reflect.Type

func registryOf[T any](values ...T) registry[T] {
	r := make(registry[T], len(values))
	for _, v := range values {
		r[typeName(v)] = reflect.TypeOf(v)
	}
	return r
}

func typeName(v any) string { return reflect.TypeOf(v).Name() }

// TypeError is a type that the registry lacks.
type TypeError struct{ Name string }

// Error names the type.
func (e *TypeError) Error() string { return fmt.Sprintf("trace: unknown type %q", e.Name) }

// typedValue is the JSON form of a value with its type's name.
type typedValue struct {
	Type  string          `json:"type"`
	Value json.RawMessage `json:"value"`
}

func (r registry[T]) marshal(v T) ([]byte, error) {
	if reflect.TypeOf(v) == nil {
		return nil, &TypeError{"nil"}
	}
	name := typeName(v)
	if r[name] != reflect.TypeOf(v) {
		return nil, &TypeError{name}
	}
	value, err := json.Marshal(v)
	if err != nil {
		return nil, err
	}
	return json.Marshal(typedValue{Type: name, Value: value})
}

func (r registry[T]) unmarshal(data []byte) (value T, err error) {
	var t typedValue
	if err := json.Unmarshal(data, &t); err != nil {
		return value, err
	}
	known, ok := r[t.Type]
	if !ok {
		return value, &TypeError{t.Type}
	}
	target := reflect.New(known)
	if err := json.Unmarshal(t.Value, target.Interface()); err != nil {
		return value, err
	}
	return target.Elem().Interface().(T), nil
}

// MarshalJSON writes the event with its type's name.
func (e Event) MarshalJSON() ([]byte, error) { return events.marshal(e.Event) }

// UnmarshalJSON reads an event by its type's name.
func (e *Event) UnmarshalJSON(data []byte) (err error) {
	e.Event, err = events.unmarshal(data)
	return err
}

// MarshalJSON writes the action with its type's name.
func (a Action) MarshalJSON() ([]byte, error) { return actions.marshal(a.Action) }

// UnmarshalJSON reads an action by its type's name.
func (a *Action) UnmarshalJSON(data []byte) (err error) {
	a.Action, err = actions.unmarshal(data)
	return err
}

func wrapActions(list []scheduler.Action) []Action {
	wrapped := make([]Action, 0, len(list))
	for _, a := range list {
		wrapped = append(wrapped, Action{a})
	}
	return wrapped
}
