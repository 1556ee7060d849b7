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

// layerRanks maps each layer, a top-level folder, to its rank. A package may import
// only packages of its own rank or of lower ranks.
var layerRanks = map[string]int{"state": 0, "coordination": 1, "protocol": 2, "transport": 3, "platform": 4, "standin": 5}

// TestImportsFollowLayers guards the layout of the source: packages of state and
// coordination, which make the decisions, must not depend on packages that do I/O.
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
			importPath, _ := strconv.Unquote(spec.Path.Value)
			relative, isOwn := strings.CutPrefix(importPath, modulePath)
			if !isOwn {
				if rank <= layerRanks["coordination"] && (importPath == "net" || strings.HasPrefix(importPath, "net/") && importPath != "net/http" || importPath == "os") {
					t.Errorf("%s: packages of state and coordination must not do I/O, but it imports %s", path, importPath)
				}
				continue
			}
			importedRank, ok := layerRanks[strings.SplitN(relative, "/", 2)[0]]
			if !ok || importedRank > rank {
				t.Errorf("%s imports %s, which is in a higher layer or in none", path, importPath)
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
