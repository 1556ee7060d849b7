package figstile

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// edgeLogPaths are the packages whose lines the page's table of a router on the
// platform lists.
var edgeLogPaths = []string{"transport/edge", "transport/ingress", "cmd/figstiled/edge.go"}

// sharedLogPaths also log there, for all kinds of routers.
var sharedLogPaths = []string{"transport/peer", "transport/logging"}

// An engineer follows the page at night to a field that no line has any more.
// The page's table names the events and fields that the code writes, and each
// event of the code.
func TestOperationsPageListsLogFields(t *testing.T) {
	edgeEvents, allEvents := loggedEvents(t, edgeLogPaths), loggedEvents(t, append(edgeLogPaths, sharedLogPaths...))
	page := pageEvents(t)
	require.NotEmpty(t, page)
	for event, fields := range page {
		require.Contains(t, allEvents, event, "the page names an event that is not logged")
		for _, field := range fields {
			require.True(t, allEvents[event][field], "event %q has no field %q", event, field)
		}
	}
	for event := range edgeEvents {
		require.Contains(t, page, event, "the page lacks an event")
	}
}

// pageEvents reads the table of events: names in code marks in the first
// column, fields in the third.
func pageEvents(t *testing.T) map[string][]string {
	t.Helper()
	page, err := os.ReadFile("docs/OPERATIONS.md")
	require.NoError(t, err)
	_, section, found := strings.Cut(string(page), "## Routers on the users' platform")
	require.True(t, found)
	_, table, found := strings.Cut(section, "| event |")
	require.True(t, found)
	table, _, _ = strings.Cut(table, "\n\n")
	codeSpan := regexp.MustCompile("`([^`]+)`")
	events := make(map[string][]string)
	for line := range strings.Lines(table) {
		cells := strings.Split(line, "|")
		if len(cells) != 5 || !strings.Contains(cells[1], "`") {
			continue
		}
		for _, event := range codeSpan.FindAllStringSubmatch(cells[1], -1) {
			events[event[1]] = nil
			for _, field := range codeSpan.FindAllStringSubmatch(cells[3], -1) {
				events[event[1]] = append(events[event[1]], field[1])
			}
		}
	}
	return events
}

// loggedEvents returns the fields of each event that the files below some
// paths log.
func loggedEvents(t *testing.T, paths []string) map[string]map[string]bool {
	t.Helper()
	events := make(map[string]map[string]bool)
	for _, path := range paths {
		require.NoError(t, filepath.WalkDir(path, func(file string, _ fs.DirEntry, err error) error {
			if err != nil || !strings.HasSuffix(file, ".go") || strings.HasSuffix(file, "_test.go") {
				return err
			}
			parsed, err := parser.ParseFile(token.NewFileSet(), file, nil, parser.SkipObjectResolution)
			if err != nil {
				return err
			}
			for _, declaration := range parsed.Decls {
				collectEvents(declaration, events)
			}
			return nil
		}))
	}
	return events
}

// collectEvents adds the events of a function. Fields that are set before the
// chain that ends with the event count for all its events.
func collectEvents(function ast.Node, events map[string]map[string]bool) {
	var eventNames []string
	fields := make(map[string]bool)
	ast.Inspect(function, func(n ast.Node) bool {
		call, ok := n.(*ast.CallExpr)
		if !ok {
			return true
		}
		method, ok := call.Fun.(*ast.SelectorExpr)
		if !ok || len(call.Args) == 0 {
			if ok && method.Sel.Name == "Err" {
				fields["error"] = true
			}
			return true
		}
		text, literal := stringLiteral(call.Args[0])
		switch {
		case method.Sel.Name == "Err":
			fields["error"] = true
		case method.Sel.Name == "Msg" && literal:
			eventNames = append(eventNames, text)
		case literal && len(call.Args) == 2:
			fields[text] = true
		}
		return true
	})
	for _, name := range eventNames {
		if events[name] == nil {
			events[name] = make(map[string]bool)
		}
		for field := range fields {
			events[name][field] = true
		}
	}
}

func stringLiteral(e ast.Expr) (string, bool) {
	literal, ok := e.(*ast.BasicLit)
	if !ok || literal.Kind != token.STRING {
		return "", false
	}
	text, err := strconv.Unquote(literal.Value)
	return text, err == nil
}
