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

// layerRanks maps each layer to its rank; a package imports only its own rank and
// lower ones.
var layerRanks = map[string]int{"state": 0, "coordination": 1, "protocol": 2, "transport": 3, "platform": 4, "standin": 5}

// TestImportsFollowLayers holds the layout: deciders stay free of transports.
func TestImportsFollowLayers(t *testing.T) {
	filesChecked := 0
	err := filepath.WalkDir(".", func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		rank, ok := layerRanks[strings.SplitN(filepath.ToSlash(path), "/", 2)[0]]
		if !ok {
			return nil
		}
		filesChecked++
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ImportsOnly)
		if err != nil {
			return err
		}
		for _, spec := range file.Imports {
			name, _ := strconv.Unquote(spec.Path.Value)
			relative, isOwn := strings.CutPrefix(name, modulePath)
			if !isOwn {
				if rank <= layerRanks["coordination"] && (name == "net" || strings.HasPrefix(name, "net/") && name != "net/http" || name == "os") {
					t.Errorf("%s: deciders do no I/O but import %s", path, name)
				}
				continue
			}
			importedRank, ok := layerRanks[strings.SplitN(relative, "/", 2)[0]]
			if !ok || importedRank > rank {
				t.Errorf("%s imports %s, a higher layer", path, name)
			}
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	if filesChecked == 0 {
		t.Fatal("no source files found")
	}
}
