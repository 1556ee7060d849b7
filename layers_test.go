package figstile

import (
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
)

const modulePath = "github.com/figstile/figstile/"

// layers maps each layer to its rank; a package imports only its own rank and
// lower ones.
var layers = map[string]int{"state": 0, "coordination": 1, "protocol": 2, "transport": 3, "platform": 4, "standin": 5}

// TestImportsGoDownwards holds the layout: deciders stay free of transports.
func TestImportsGoDownwards(t *testing.T) {
	seen := 0
	err := filepath.WalkDir(".", func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		rank, ok := layers[strings.SplitN(filepath.ToSlash(path), "/", 2)[0]]
		if !ok {
			return nil
		}
		seen++
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ImportsOnly)
		if err != nil {
			return err
		}
		for _, spec := range file.Imports {
			name, _ := strconv.Unquote(spec.Path.Value)
			inner, own := strings.CutPrefix(name, modulePath)
			if !own {
				if rank <= layers["coordination"] && (name == "net" || strings.HasPrefix(name, "net/") && name != "net/http" || name == "os") {
					t.Errorf("%s: deciders do no I/O but import %s", path, name)
				}
				continue
			}
			other, ok := layers[strings.SplitN(inner, "/", 2)[0]]
			if !ok || other > rank {
				t.Errorf("%s imports %s, a higher layer", path, name)
			}
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	if seen == 0 {
		t.Fatal("no source files found")
	}
}
