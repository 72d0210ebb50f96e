package logging_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/cairnlift/cairnlift/logging/event"
)

// eventPackages are the packages that log on the users' platform. They write declared events only.
// The packages of the other daemons are not checked.
var eventPackages = []string{
	"dispatch", "agent/runs", "platform", "jobclient", "control", "quorum/node", "quorum/wal",
	"logging/dependency", "cordon", "discovery",
}

// TestEventsAreDocumented compares the table of log lines in the operations page with the declared
// events. Operators can't interpret a line that is missing there, and would wait without result
// for a documented line that is never written.
func TestEventsAreDocumented(t *testing.T) {
	page, err := os.ReadFile("../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	documented := documentedEvents(string(page))
	declared := map[eventID]bool{}
	for _, e := range event.All() {
		id := eventID{string(e.Part), e.Name}
		if declared[id] {
			t.Errorf("%v is declared twice", id)
		}
		declared[id] = true
		if !slices.Contains(documented, id) {
			t.Errorf("%v is declared but not in the table", id)
		}
	}
	for _, id := range documented {
		if !declared[id] {
			t.Errorf("%v is in the table but not declared", id)
		}
	}
}

// eventID identifies an event by its part and message.
type eventID struct{ part, name string }

// documentedEvents returns the events of the table of log lines: the quoted messages in its first
// column, each with the part in the second.
func documentedEvents(page string) []eventID {
	_, table, _ := strings.Cut(page, "| line | part | what it means |")
	quoted := regexp.MustCompile("`([^`]+)`")
	var events []eventID
	for _, row := range strings.Split(table, "\n")[1:] {
		if !strings.HasPrefix(row, "|") {
			break
		}
		columns := strings.Split(row, "|")
		part := strings.TrimSpace(columns[2])
		if part == "(none)" {
			part = string(event.Process)
		}
		for _, m := range quoted.FindAllStringSubmatch(columns[1], -1) {
			events = append(events, eventID{part, m[1]})
		}
	}
	return events
}

// TestPackagesWriteDeclaredEvents reports log lines that are not declared events, declared events
// that are never written, and fields that an event does not declare.
func TestPackagesWriteDeclaredEvents(t *testing.T) {
	decls := readDeclarations(t)
	used := map[string]bool{"LinesLeftOut": true} // written by Bounded itself
	for _, dir := range eventPackages {
		forEachNode(t, filepath.Join("..", dir), func(n ast.Node) {
			if message, ok := loggedMessage(n); ok {
				t.Errorf("%s writes %q, which is not declared", dir, message)
			}
			if name, ok := selectorName(n, "event"); ok {
				used[name] = true
			}
			decls.checkWrite(t, dir, n)
		})
	}
	for name := range decls.events {
		if !used[name] {
			t.Errorf("event %s is never written", name)
		}
	}
}

// declarations is what the sources of package event declare, by Go identifier.
type declarations struct {
	events map[string]*event.Event
	// fields maps field constructors to the names of their fields.
	fields map[string]string
}

func readDeclarations(t *testing.T) *declarations {
	t.Helper()
	v := &declarations{events: map[string]*event.Event{}, fields: map[string]string{}}
	constants := map[string]string{}
	forEachNode(t, "event", func(n ast.Node) { readConstant(n, constants) })
	forEachNode(t, "event", func(n ast.Node) {
		switch n := n.(type) {
		case *ast.ValueSpec:
			v.readEvent(n)
		case *ast.FuncDecl:
			if name, ok := fieldNameOf(n, constants); ok {
				v.fields[n.Name.Name] = name
			}
		}
	})
	if len(v.events) != len(event.All()) {
		t.Fatalf("%d of %d event declarations were parsed", len(v.events), len(event.All()))
	}
	return v
}

// readConstant records the value of a string constant.
func readConstant(n ast.Node, constants map[string]string) {
	spec, ok := n.(*ast.ValueSpec)
	if !ok || len(spec.Values) != 1 {
		return
	}
	if text, ok := stringLiteral(spec.Values[0]); ok {
		constants[spec.Names[0].Name] = text
	}
}

// readEvent records a variable that is declared as an event.
func (v *declarations) readEvent(spec *ast.ValueSpec) {
	if len(spec.Values) != 1 {
		return
	}
	call, ok := spec.Values[0].(*ast.CallExpr)
	if !ok || len(call.Args) < 3 {
		return
	}
	part, ok := call.Args[0].(*ast.Ident)
	name, isString := stringLiteral(call.Args[2])
	if !ok || !isString {
		return
	}
	for _, e := range event.All() {
		isProcess := part.Name == "Process" && e.Part == event.Process
		if e.Name == name && (isProcess || string(e.Part) == strings.ToLower(part.Name)) {
			v.events[spec.Names[0].Name] = e
		}
	}
}

// fieldNameOf returns the name of the field that a constructor creates: the first string constant
// or literal in its body.
func fieldNameOf(f *ast.FuncDecl, constants map[string]string) (string, bool) {
	if f.Type.Results == nil || len(f.Type.Results.List) != 1 || !ast.IsExported(f.Name.Name) {
		return "", false
	}
	if result, ok := f.Type.Results.List[0].Type.(*ast.Ident); !ok || result.Name != "Field" {
		return "", false
	}
	name := "error" // zap.Error sets the name of its field itself
	ast.Inspect(f.Body, func(n ast.Node) bool {
		if name != "error" {
			return false
		}
		if ident, ok := n.(*ast.Ident); ok && constants[ident.Name] != "" {
			name = constants[ident.Name]
		}
		if expr, ok := n.(ast.Expr); ok {
			if text, ok := stringLiteral(expr); ok {
				name = text
			}
		}
		return true
	})
	return name, true
}

// checkWrite compares the fields of a call of event.X.Write with those that X declares.
func (v *declarations) checkWrite(t *testing.T, dir string, n ast.Node) {
	t.Helper()
	call, ok := n.(*ast.CallExpr)
	if !ok {
		return
	}
	method, ok := call.Fun.(*ast.SelectorExpr)
	if !ok || method.Sel.Name != "Write" {
		return
	}
	name, ok := selectorName(method.X, "event")
	if !ok {
		return
	}
	for _, arg := range call.Args[1:] {
		field, ok := arg.(*ast.CallExpr)
		if !ok {
			continue
		}
		constructor, ok := selectorName(field.Fun, "event")
		if ok && !slices.Contains(v.events[name].Fields, v.fields[constructor]) {
			t.Errorf("%s: event %s has no field %q", dir, name, v.fields[constructor])
		}
	}
}

// forEachNode calls visit with each syntax node of a package, without its tests.
func forEachNode(t *testing.T, dir string, visit func(ast.Node)) {
	t.Helper()
	entries, err := os.ReadDir(dir)
	if err != nil {
		t.Fatal(err)
	}
	for _, e := range entries {
		if !strings.HasSuffix(e.Name(), ".go") || strings.HasSuffix(e.Name(), "_test.go") {
			continue
		}
		file, err := parser.ParseFile(token.NewFileSet(), filepath.Join(dir, e.Name()), nil, 0)
		if err != nil {
			t.Fatal(err)
		}
		ast.Inspect(file, func(n ast.Node) bool {
			if n != nil {
				visit(n)
			}
			return true
		})
	}
}

// selectorName returns X of a selector expression pkg.X.
func selectorName(n ast.Node, pkg string) (string, bool) {
	selector, ok := n.(*ast.SelectorExpr)
	if !ok {
		return "", false
	}
	ident, ok := selector.X.(*ast.Ident)
	return selector.Sel.Name, ok && ident.Name == pkg
}

// stringLiteral returns the value of a string literal.
func stringLiteral(e ast.Expr) (string, bool) {
	lit, ok := e.(*ast.BasicLit)
	if !ok || lit.Kind != token.STRING {
		return "", false
	}
	text, err := strconv.Unquote(lit.Value)
	return text, err == nil
}

// loggedMessage returns the message of a call of a logging method.
func loggedMessage(n ast.Node) (string, bool) {
	call, ok := n.(*ast.CallExpr)
	if !ok || len(call.Args) == 0 {
		return "", false
	}
	method, ok := call.Fun.(*ast.SelectorExpr)
	if !ok || !slices.Contains([]string{"Debug", "Info", "Warn", "Error"}, method.Sel.Name) {
		return "", false
	}
	return stringLiteral(call.Args[0])
}
