package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"reflect"
	"strings"
)

// MaxObjectBytes bounds the size of one object of the tree. The platform stores
// no larger values.
const MaxObjectBytes = 1 << 20

// decodeStrict decodes data into the given value and lists all deviations from
// its type. The standard JSON decoder would stop at the first unknown field,
// use the last of two equal keys and ignore the case of names.
func decodeStrict(data []byte, into any) faults {
	var fs faults
	if len(data) > MaxObjectBytes {
		fs.add("", "object has %d bytes, the limit is %d", len(data), MaxObjectBytes)
		return fs
	}
	dec := json.NewDecoder(bytes.NewReader(data))
	var raw json.RawMessage
	if err := dec.Decode(&raw); err != nil {
		fs.add("", "not valid JSON: %v", err)
		return fs
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		fs.add("", "data after the end of the object")
	}
	fs.checkType("", raw, reflect.TypeOf(into).Elem())
	if err := json.Unmarshal(raw, into); err != nil && len(fs) == 0 {
		fs.add("", "%v", err)
	}
	return fs
}

// checkType checks that raw matches type t, including all nested objects and
// arrays.
func (fs *faults) checkType(path string, raw json.RawMessage, t reflect.Type) {
	if string(raw) == "null" {
		if t.Kind() != reflect.Slice {
			fs.add(path, "must not be null")
		}
		return
	}
	switch {
	case t.Kind() == reflect.Struct && raw[0] == '{':
		fs.checkObject(path, raw, t)
	case t.Kind() == reflect.Slice && raw[0] == '[':
		fs.checkArray(path, raw, t.Elem())
	default:
		fs.checkScalar(path, raw, t)
	}
}

func (fs *faults) checkObject(path string, raw json.RawMessage, t reflect.Type) {
	dec := json.NewDecoder(bytes.NewReader(raw))
	_, _ = dec.Token() // skips the opening brace
	seen := make(map[string]bool)
	for dec.More() {
		token, err := dec.Token()
		if err != nil {
			return
		}
		name, _ := token.(string)
		var value json.RawMessage
		if err := dec.Decode(&value); err != nil {
			return
		}
		fieldType, ok := fieldNamed(t, name)
		switch {
		case !ok:
			fs.add(fieldPath(path, clip(name)), "unknown field")
		case seen[name]:
			fs.add(fieldPath(path, clip(name)), "field given twice")
		default:
			fs.checkType(fieldPath(path, name), value, fieldType)
		}
		seen[name] = true
	}
}

func (fs *faults) checkArray(path string, raw json.RawMessage, elem reflect.Type) {
	var values []json.RawMessage
	if err := json.Unmarshal(raw, &values); err != nil {
		fs.add(path, "%v", err)
		return
	}
	for i, value := range values {
		fs.checkType(indexPath(path, i), value, elem)
	}
}

func (fs *faults) checkScalar(path string, raw json.RawMessage, t reflect.Type) {
	if t.Kind() == reflect.String && raw[0] == '"' {
		return
	}
	err := json.Unmarshal(raw, reflect.New(t).Interface())
	var mismatch *json.UnmarshalTypeError
	switch {
	case errors.As(err, &mismatch):
		fs.add(path, "must be %s, not %s", typeName(t), mismatch.Value)
	case err != nil:
		fs.add(path, "%s", clip(err.Error()))
	}
}

func fieldNamed(t reflect.Type, name string) (reflect.Type, bool) {
	for i := range t.NumField() {
		tag, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		if tag == name {
			return t.Field(i).Type, true
		}
	}
	return nil, false
}

func typeName(t reflect.Type) string {
	switch t.Kind() {
	case reflect.Struct:
		return "an object"
	case reflect.Slice:
		return "an array"
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Float64:
		return "a number"
	default:
		return "a whole number in range"
	}
}
