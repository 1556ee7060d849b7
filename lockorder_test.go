package figstile

import (
	"go/ast"
	"go/parser"
	"go/token"
	"go/types"
	"io/fs"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// lockOrders lists, for each package in which a lock is taken while another one
// is held, which locks may be taken while which is held. A lock is named by its
// type and field.
var lockOrders = map[string][]string{
	"standin/platform":    {"Platform.mu > Store.mu"},
	"transport/conntrack": {"Tracker.mu > conn.mu"},
	"transport/daemon":    {"peerSet.mu > countingLink.mu"},
	"transport/edge": {
		"callerListener.mu > closedTimer.mu",
		"callerListener.mu > readDelayTracker.mu",
		"catalogue.decodeMu > catalogue.mu",
		"catalogue.decodeMu > dispatcher.mu",
		"catalogue.mu > dispatcher.mu",
		"fleet.mu > dispatcher.mu",
		"fleet.packsMu > catalogue.mu",
		"fleet.packsMu > dispatcher.mu",
	},
	"transport/peer":     {"Mesh.mu > notices.mu", "Mesh.mu > queue.mu", "Mesh.mu > roundTrip.mu"},
	"transport/settings": {"Source.publishMu > Source.mu"},
	"transport/upstream": {"sendTracker.mu > fencedConn.mu"},
}

// callbacksUnderLock lists the function values and methods of interfaces that may
// be called while a lock is held. Clocks and the cancel functions of contexts call nothing back. The
// others need the order that the lock ensures, and what they call must not come
// back to the part that holds it.
var callbacksUnderLock = []string{
	"now", "Now", "cancel",
	"Rand",       // transport/objectstore: a random number
	"Settings",   // transport/daemon: the settings in force
	"setTargets", // transport/daemon: the poller, which calls back without a lock
	"OnChange",   // transport/settings: Source.publishMu only orders these calls
	// transport/edge: the decoders of the platform's objects, and the mesh, which
	// calls back without its lock.
	"DecodeConfig", "DecodeUpstream", "Send", "SelectPeers", "DropSession",
	"endEpoch", // standin/platform: the cancel function of a context
}

// Two parts that take each other's locks in opposite orders hang the process, and
// so may a callback or a wait for a channel while a lock is held. All packages
// with locks must keep to lockOrders.
func TestLocksAreTakenInOneOrder(t *testing.T) {
	for _, root := range []string{"cmd", "coordination", "devfleet", "loadgen", "logstory", "platform", "protocol", "replay", "standin", "state", "transport"} {
		require.NoError(t, filepath.WalkDir(root, func(dir string, entry fs.DirEntry, err error) error {
			if err != nil || !entry.IsDir() || entry.Name() == "testdata" {
				return err
			}
			t.Run(dir, func(t *testing.T) {
				p := parseLocks(t, dir)
				order := p.order()
				require.ElementsMatch(t, lockOrders[filepath.ToSlash(dir)], order)
				require.Empty(t, takenTwice(order))
				require.Empty(t, p.callbacksUnderLocks())
			})
			return nil
		}))
	}
}

// lockUse is what a function does with locks.
type lockUse struct {
	// locks are the locks that the function takes itself, and calls the
	// functions of its package that it calls.
	locks map[string]bool
	calls map[*types.Func]bool
	// callsUnder and locksUnder are the calls and locks while a lock is held.
	callsUnder map[string]map[*types.Func]bool
	locksUnder map[string]map[string]bool
	// callbacks are the function values and methods of interfaces that the
	// function calls, and its operations on channels that may block, with their
	// places. callbacksUnder are those while a lock is held.
	callbacks, callbacksUnder []string
}

// lockedPackage holds the locks of one package.
type lockedPackage struct {
	info      *types.Info
	functions map[*types.Func]*lockUse
	fset      *token.FileSet
}

// parseLocks reads the Go files of a directory without its tests. Imported
// packages are not loaded, so only calls within the package are followed.
func parseLocks(t *testing.T, dir string) *lockedPackage {
	t.Helper()
	p := &lockedPackage{
		info:      &types.Info{Uses: make(map[*ast.Ident]types.Object), Defs: make(map[*ast.Ident]types.Object), Selections: make(map[*ast.SelectorExpr]*types.Selection), Types: make(map[ast.Expr]types.TypeAndValue)},
		functions: make(map[*types.Func]*lockUse), fset: token.NewFileSet(),
	}
	entries, err := os.ReadDir(dir)
	require.NoError(t, err)
	var files []*ast.File
	for _, entry := range entries {
		if name := entry.Name(); strings.HasSuffix(name, ".go") && !strings.HasSuffix(name, "_test.go") {
			file, err := parser.ParseFile(p.fset, filepath.Join(dir, name), nil, parser.SkipObjectResolution)
			require.NoError(t, err)
			files = append(files, file)
		}
	}
	config := types.Config{Error: func(error) {}, Importer: noImports{}}
	_, _ = config.Check(dir, p.fset, files, p.info)
	for _, file := range files {
		for _, declaration := range file.Decls {
			if function, ok := declaration.(*ast.FuncDecl); ok && function.Body != nil {
				p.read(function)
			}
		}
	}
	return p
}

// noImports provides empty packages.
type noImports struct{}

func (noImports) Import(path string) (*types.Package, error) {
	pkg := types.NewPackage(path, filepath.Base(path))
	pkg.MarkComplete()
	return pkg, nil
}

// read records the use of locks in a function. A lock counts as held from its
// Lock call to the next Unlock call in the source, or to the end of the function
// if the Unlock call is deferred.
func (p *lockedPackage) read(function *ast.FuncDecl) {
	object, ok := p.info.Defs[function.Name].(*types.Func)
	if !ok {
		return
	}
	use := &lockUse{locks: make(map[string]bool), calls: make(map[*types.Func]bool), callsUnder: make(map[string]map[*types.Func]bool), locksUnder: make(map[string]map[string]bool)}
	p.functions[object] = use
	held := make(map[string]bool)
	deferred, nonBlocking := make(map[ast.Node]bool), make(map[ast.Node]bool)
	ast.Inspect(function.Body, func(node ast.Node) bool {
		if nonBlocking[node] {
			return false
		}
		switch n := node.(type) {
		case *ast.SelectStmt:
			for _, operation := range operationsWithDefault(n) {
				nonBlocking[operation] = true
			}
		case *ast.SendStmt:
			p.addCallback(use, held, "channel", n.Pos())
		case *ast.UnaryExpr:
			if n.Op == token.ARROW {
				p.addCallback(use, held, "channel", n.Pos())
			}
		case *ast.DeferStmt:
			deferred[n.Call] = true
		case *ast.GoStmt:
			return false
		case *ast.CallExpr:
			if startsGoroutine(n) {
				return false
			}
			p.readCall(use, held, n, deferred[n])
		}
		return true
	})
}

// operationsWithDefault returns the operations on channels of a select statement
// that does not block because it has a default clause.
func operationsWithDefault(s *ast.SelectStmt) []ast.Node {
	var operations []ast.Node
	hasDefault := false
	for _, clause := range s.Body.List {
		if operation := clause.(*ast.CommClause).Comm; operation != nil {
			operations = append(operations, operation)
		} else {
			hasDefault = true
		}
	}
	if !hasDefault {
		return nil
	}
	return operations
}

// startsGoroutine reports whether a call has the form group.Go(function) or
// time.AfterFunc(delay, function).
func startsGoroutine(call *ast.CallExpr) bool {
	selector, ok := call.Fun.(*ast.SelectorExpr)
	return ok && (selector.Sel.Name == "Go" || selector.Sel.Name == "AfterFunc")
}

func (p *lockedPackage) readCall(use *lockUse, held map[string]bool, call *ast.CallExpr, isDeferred bool) {
	selector, ok := call.Fun.(*ast.SelectorExpr)
	if !ok {
		p.readCallee(use, held, call.Fun, call)
		return
	}
	lock, isLock := p.lockOf(selector.X)
	switch {
	case isLock && (selector.Sel.Name == "Lock" || selector.Sel.Name == "RLock"):
		for outer := range held {
			add(use.locksUnder, outer, lock)
		}
		use.locks[lock], held[lock] = true, true
	case isLock:
		if !isDeferred {
			delete(held, lock)
		}
	default:
		p.readCallee(use, held, selector.Sel, call)
	}
}

// lockOf returns the name of a lock: the type that contains it and its field.
func (p *lockedPackage) lockOf(expr ast.Expr) (string, bool) {
	field, ok := expr.(*ast.SelectorExpr)
	if !ok || !strings.HasSuffix(strings.ToLower(field.Sel.Name), "mu") {
		return "", false
	}
	owner := p.info.Types[field.X].Type
	if pointer, ok := owner.(*types.Pointer); ok {
		owner = pointer.Elem()
	}
	named, ok := owner.(*types.Named)
	if !ok {
		return "", false
	}
	return named.Obj().Name() + "." + field.Sel.Name, true
}

// readCallee records a call of a function of the package, of a function value, or
// of a method of an interface.
func (p *lockedPackage) readCallee(use *lockUse, held map[string]bool, callee ast.Expr, call *ast.CallExpr) {
	name, ok := callee.(*ast.Ident)
	if !ok {
		return
	}
	switch object := p.info.Uses[name].(type) {
	case *types.Func:
		if isInterfaceMethod(object) {
			p.addCallback(use, held, name.Name, call.Pos())
			return
		}
		use.calls[object] = true
		for lock := range held {
			add(use.callsUnder, lock, object)
		}
	case *types.Var:
		if object.IsField() {
			p.addCallback(use, held, name.Name, call.Pos())
		}
	}
}

func isInterfaceMethod(function *types.Func) bool {
	receiver := function.Signature().Recv()
	return receiver != nil && types.IsInterface(receiver.Type())
}

// addCallback records a call whose callee is not known from the source, or an
// operation on a channel that may block, unless callbacksUnderLock allows it.
func (p *lockedPackage) addCallback(use *lockUse, held map[string]bool, name string, pos token.Pos) {
	if slices.Contains(callbacksUnderLock, name) {
		return
	}
	place := p.fset.Position(pos).String() + ": " + name
	use.callbacks = append(use.callbacks, place)
	if len(held) > 0 {
		use.callbacksUnder = append(use.callbacksUnder, place)
	}
}

func add[K, V comparable](sets map[K]map[V]bool, key K, value V) {
	if sets[key] == nil {
		sets[key] = make(map[V]bool)
	}
	sets[key][value] = true
}

// order returns the pairs of locks of which the second is taken while the first
// is held, by the function that holds it or by one that it calls.
func (p *lockedPackage) order() []string {
	pairs := make(map[string]bool)
	for _, use := range p.functions {
		for outer, inner := range use.locksUnder {
			for lock := range inner {
				pairs[outer+" > "+lock] = true
			}
		}
		for outer, calls := range use.callsUnder {
			for _, inner := range p.reached(calls) {
				for lock := range inner.locks {
					pairs[outer+" > "+lock] = true
				}
			}
		}
	}
	return slices.Sorted(maps.Keys(pairs))
}

// callbacksUnderLocks returns the calls of function values and of methods of
// interfaces while a lock is held, by the function that holds it or by one that it
// calls.
func (p *lockedPackage) callbacksUnderLocks() []string {
	places := make(map[string]bool)
	for _, use := range p.functions {
		for _, place := range use.callbacksUnder {
			places[place] = true
		}
		for _, calls := range use.callsUnder {
			for _, inner := range p.reached(calls) {
				for _, place := range inner.callbacks {
					places[place] = true
				}
			}
		}
	}
	return slices.Sorted(maps.Keys(places))
}

// reached returns the use of locks by functions and by all that they call.
func (p *lockedPackage) reached(functions map[*types.Func]bool) []*lockUse {
	var uses []*lockUse
	seen, queue := make(map[*types.Func]bool), slices.Collect(maps.Keys(functions))
	for len(queue) > 0 {
		function := queue[0]
		queue = queue[1:]
		if use := p.functions[function]; use != nil && !seen[function] {
			seen[function] = true
			uses = append(uses, use)
			queue = append(queue, slices.Collect(maps.Keys(use.calls))...)
		}
	}
	return uses
}

// takenTwice returns the locks that may be taken while they are held, through any
// chain of pairs.
func takenTwice(pairs []string) []string {
	next := make(map[string][]string)
	for _, pair := range pairs {
		outer, inner, _ := strings.Cut(pair, " > ")
		next[outer] = append(next[outer], inner)
	}
	var twice []string
	for lock := range next {
		reached, queue := make(map[string]bool), slices.Clone(next[lock])
		for len(queue) > 0 {
			inner := queue[0]
			queue = queue[1:]
			if !reached[inner] {
				reached[inner] = true
				queue = append(queue, next[inner]...)
			}
		}
		if reached[lock] {
			twice = append(twice, lock)
		}
	}
	return twice
}
