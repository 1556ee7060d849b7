package result

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"net/http"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// declaredCodes returns the names of all constants of type Code.
func declaredCodes(t *testing.T) []string {
	t.Helper()
	file, err := parser.ParseFile(token.NewFileSet(), "result.go", nil, 0)
	require.NoError(t, err)
	var names []string
	ast.Inspect(file, func(n ast.Node) bool {
		spec, ok := n.(*ast.ValueSpec)
		if !ok {
			return true
		}
		if kind, ok := spec.Type.(*ast.Ident); ok && kind.Name == "Code" {
			names = append(names, spec.Names[0].Name)
		}
		return true
	})
	return names
}

// renderTable formats the table as in docs/RESULTS.md.
func renderTable() string {
	var b strings.Builder
	b.WriteString("| code | name | status | ran | `Retry-After` | meaning |\n|---|---|---|---|---|---|\n")
	for _, e := range Table {
		retry := "no"
		if e.Retry {
			retry = "yes"
		}
		fmt.Fprintf(&b, "| %d | %s | %d | %s | %s | %s |\n", e.Code, e.Name, e.Status, e.Ran, retry, e.Meaning)
	}
	return b.String()
}

// Callers rely on docs/RESULTS.md. A row that is missing, obsolete or different
// there is as wrong as one in the code.
func TestDocsMatchTheTable(t *testing.T) {
	page, err := os.ReadFile("../../docs/RESULTS.md")
	require.NoError(t, err)
	var rows []string
	for _, line := range strings.SplitAfter(string(page), "\n") {
		if strings.HasPrefix(line, "|") {
			rows = append(rows, line)
		}
	}
	require.Equal(t, renderTable(), strings.Join(rows, ""))
}

func TestTableIsConsistent(t *testing.T) {
	require.Len(t, declaredCodes(t), len(Table), "every declared code must have exactly one row")
	names := make(map[string]bool)
	for i, e := range Table {
		require.False(t, names[e.Name], "name %s is used twice", e.Name)
		names[e.Name] = true
		require.NotEmpty(t, http.StatusText(e.Status))
		require.Equal(t, e, Lookup(e.Code))
		if i > 0 {
			require.Greater(t, e.Code, Table[i-1].Code, "codes must be in ascending order")
		}
	}
	require.Equal(t, Internal, Lookup(9999).Code)
}
