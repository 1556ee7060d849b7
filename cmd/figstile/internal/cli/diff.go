package cli

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
)

type configDiff struct {
	fileArgs
}

func (c configDiff) Run(a *app) error {
	data, current, err := c.readWithCurrent(a)
	if err != nil {
		return err
	}
	before, _ := flatten(current.Value)
	after, err := flatten(data)
	if err != nil {
		return usageError(fmt.Sprintf("%s: %v", c.File, err))
	}
	differences := diffValues(before, after)
	err = a.out.show(differences, func() {
		for _, d := range differences {
			fmt.Fprintln(a.out.w, d)
		}
	})
	if err != nil || len(differences) == 0 {
		return err
	}
	return differsError{}
}

// difference is one value that differs between the object and the file. Before
// or After is empty if the value is absent on that side.
type difference struct {
	Path   string `json:"path"`
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}

// String formats the difference as one line.
func (d difference) String() string {
	switch {
	case d.Before == "":
		return fmt.Sprintf("+ %s: %s", d.Path, d.After)
	case d.After == "":
		return fmt.Sprintf("- %s: %s", d.Path, d.Before)
	default:
		return fmt.Sprintf("~ %s: %s -> %s", d.Path, d.Before, d.After)
	}
}

// flatten maps the path of every value in a JSON object to the value. It leaves
// out the change id and the change history. A path contains an element's name
// instead of its index, so that a changed order or an added element does not
// appear as a change of all other elements.
func flatten(data []byte) (map[string]string, error) {
	var object map[string]any
	if err := json.Unmarshal(data, &object); err != nil {
		return nil, err
	}
	delete(object, "change_id")
	delete(object, "history")
	flat := make(map[string]string)
	flattenInto(flat, "", object)
	return flat, nil
}

func flattenInto(flat map[string]string, path string, value any) {
	switch value := value.(type) {
	case map[string]any:
		for name, inner := range value {
			flattenInto(flat, joinPath(path, name), inner)
		}
	case []any:
		for i, inner := range value {
			flattenInto(flat, fmt.Sprintf("%s[%s]", path, elementName(i, inner)), inner)
		}
	case nil:
	default:
		text, _ := json.Marshal(value)
		flat[path] = string(text)
	}
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// elementName returns the name of an element of a list. A string, such as a
// token's digest, is its own name. Any other element without a name is identified
// by its index.
func elementName(i int, element any) string {
	switch element := element.(type) {
	case string:
		return element
	case map[string]any:
		if name, ok := element["name"].(string); ok {
			return name
		}
	}
	return fmt.Sprint(i)
}

func diffValues(before, after map[string]string) []difference {
	paths := maps.Clone(before)
	if paths == nil {
		paths = make(map[string]string)
	}
	maps.Copy(paths, after)
	differences := make([]difference, 0)
	for _, path := range slices.Sorted(maps.Keys(paths)) {
		if before[path] != after[path] {
			differences = append(differences, difference{Path: path, Before: before[path], After: after[path]})
		}
	}
	return differences
}
