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

// edgeLogPaths lists the files and packages whose log events must all appear in the
// table in docs/OPERATIONS.md about routers on the users' platform.
var edgeLogPaths = []string{"transport/edge", "transport/ingress", "cmd/figstiled/edge.go"}

// sharedLogPaths lists the packages that write log events for all kinds of routers.
// The table may contain their events but does not have to.
var sharedLogPaths = []string{"transport/peer", "transport/logging"}

// An engineer on call must not search the logs for a field that no longer exists.
// Every event and field in the table of docs/OPERATIONS.md must exist in the code,
// and every event that the code in edgeLogPaths logs must be in the table.
func TestOperationsPageListsLogFields(t *testing.T) {
	edgeEvents, allEvents := loggedEvents(t, edgeLogPaths), loggedEvents(t, append(edgeLogPaths, sharedLogPaths...))
	page := pageEvents(t)
	require.NotEmpty(t, page)
	for event, fields := range page {
		require.Contains(t, allEvents, event, "the table has an event that the code does not log")
		for _, field := range fields {
			require.True(t, allEvents[event][field], "the code logs event %q without the field %q of the table", event, field)
		}
	}
	for event := range edgeEvents {
		require.Contains(t, page, event, "the table does not have an event that the code logs")
	}
}

// pageEvents reads the table of events in docs/OPERATIONS.md and returns the fields
// of each event. The first column has the names of events in backquotes, the third
// column the fields.
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

// loggedEvents returns the fields of each event that the Go files at or below the
// given paths log. Tests are left out.
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

// collectEvents adds the events that a declaration logs. Fields can be set before
// the chain of calls that ends with the event, so every field in a declaration
// counts for all of its events.
func collectEvents(declaration ast.Node, events map[string]map[string]bool) {
	var eventNames []string
	fields := make(map[string]bool)
	ast.Inspect(declaration, func(n ast.Node) bool {
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
