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

// registry maps the name of each type to the type.
type registry[T any] map[string]reflect.Type

func registryOf[T any](values ...T) registry[T] {
	r := make(registry[T], len(values))
	for _, v := range values {
		r[typeName(v)] = reflect.TypeOf(v)
	}
	return r
}

func typeName(v any) string { return reflect.TypeOf(v).Name() }

// TypeError reports a type that is not in the registry.
type TypeError struct{ Name string }

// Error returns the name of the type.
func (e *TypeError) Error() string { return fmt.Sprintf("trace: unknown type %q", e.Name) }

// typedValue is the JSON form of a value with the name of its type.
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
	typ, ok := r[t.Type]
	if !ok {
		return value, &TypeError{t.Type}
	}
	target := reflect.New(typ)
	if err := json.Unmarshal(t.Value, target.Interface()); err != nil {
		return value, err
	}
	return target.Elem().Interface().(T), nil
}

// MarshalJSON encodes the event with the name of its type.
func (e Event) MarshalJSON() ([]byte, error) { return events.marshal(e.Event) }

// UnmarshalJSON decodes an event by the name of its type.
func (e *Event) UnmarshalJSON(data []byte) (err error) {
	e.Event, err = events.unmarshal(data)
	return err
}

// MarshalJSON encodes the action with the name of its type.
func (a Action) MarshalJSON() ([]byte, error) { return actions.marshal(a.Action) }

// UnmarshalJSON decodes an action by the name of its type.
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
