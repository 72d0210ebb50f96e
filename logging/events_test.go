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

// eventPackages are those that run on the users' platform and write lines. They write
// declared events only. The other daemons' own packages keep their lines as they are.
var eventPackages = []string{
	"dispatch", "agent/runs", "platform", "jobclient", "control", "quorum/node", "quorum/wal",
	"logging/dependency",
}

// TestEventsAreDocumented compares the table of lines with the declared events: a line
// that the table lacks can't be understood, one that nothing writes is waited for in
// vain.
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
			t.Errorf("%v is declared and not in the table", id)
		}
	}
	for _, id := range documented {
		if !declared[id] {
			t.Errorf("%v is in the table and not declared", id)
		}
	}
}

// eventID names a kind of line.
type eventID struct{ part, name string }

// documentedEvents returns the quoted names in the first column of the table of lines,
// with the part in the second.
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

// TestPackagesWriteDeclaredEvents looks for lines beside the declared events, for
// declared events that nothing writes, and for fields that an event does not declare.
func TestPackagesWriteDeclaredEvents(t *testing.T) {
	v := readDeclarations(t)
	used := map[string]bool{"LinesLeftOut": true} // written by Bounded itself
	for _, dir := range eventPackages {
		forEachNode(t, filepath.Join("..", dir), func(n ast.Node) {
			if message, ok := loggedMessage(n); ok {
				t.Errorf("%s writes %q, which is not declared", dir, message)
			}
			if name, ok := selectorName(n, "event"); ok {
				used[name] = true
			}
			v.checkWrite(t, dir, n)
		})
	}
	for name := range v.events {
		if !used[name] {
			t.Errorf("event %s is never written", name)
		}
	}
}

// declarations is what the sources of package event declare, by the names in Go.
type declarations struct {
	events map[string]*event.Event
	// fields are the constructors and the names of their fields.
	fields map[string]string
}

func readDeclarations(t *testing.T) *declarations {
	t.Helper()
	v := &declarations{events: map[string]*event.Event{}, fields: map[string]string{}}
	names := map[string]string{}
	forEachNode(t, "event", func(n ast.Node) { readConstant(n, names) })
	forEachNode(t, "event", func(n ast.Node) {
		switch n := n.(type) {
		case *ast.ValueSpec:
			v.readEvent(n)
		case *ast.FuncDecl:
			if name, ok := fieldNameOf(n, names); ok {
				v.fields[n.Name.Name] = name
			}
		}
	})
	if len(v.events) != len(event.All()) {
		t.Fatalf("%d of %d declarations are understood", len(v.events), len(event.All()))
	}
	return v
}

// readConstant notes a constant that is a string.
func readConstant(n ast.Node, names map[string]string) {
	spec, ok := n.(*ast.ValueSpec)
	if !ok || len(spec.Values) != 1 {
		return
	}
	if text, ok := stringLiteral(spec.Values[0]); ok {
		names[spec.Names[0].Name] = text
	}
}

// readEvent notes a variable that is declared as an event.
func (v *declarations) readEvent(spec *ast.ValueSpec) {
	if len(spec.Values) != 1 {
		return
	}
	call, ok := spec.Values[0].(*ast.CallExpr)
	if !ok || len(call.Args) < 3 {
		return
	}
	part, ok := call.Args[0].(*ast.Ident)
	name, isText := stringLiteral(call.Args[2])
	if !ok || !isText {
		return
	}
	for _, e := range event.All() {
		isProcess := part.Name == "Process" && e.Part == event.Process
		if e.Name == name && (isProcess || string(e.Part) == strings.ToLower(part.Name)) {
			v.events[spec.Names[0].Name] = e
		}
	}
}

// fieldNameOf returns the name of the field that a function makes: the first text in
// its body.
func fieldNameOf(f *ast.FuncDecl, names map[string]string) (string, bool) {
	if f.Type.Results == nil || len(f.Type.Results.List) != 1 || !ast.IsExported(f.Name.Name) {
		return "", false
	}
	if result, ok := f.Type.Results.List[0].Type.(*ast.Ident); !ok || result.Name != "Field" {
		return "", false
	}
	made := "error" // zap.Error names its field itself
	ast.Inspect(f.Body, func(n ast.Node) bool {
		if made != "error" {
			return false
		}
		if ident, ok := n.(*ast.Ident); ok && names[ident.Name] != "" {
			made = names[ident.Name]
		}
		if expr, ok := n.(ast.Expr); ok {
			if text, ok := stringLiteral(expr); ok {
				made = text
			}
		}
		return true
	})
	return made, true
}

// checkWrite compares the fields of a call event.X.Write with those that X declares.
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
		made, ok := arg.(*ast.CallExpr)
		if !ok {
			continue
		}
		constructor, ok := selectorName(made.Fun, "event")
		if ok && !slices.Contains(v.events[name].Fields, v.fields[constructor]) {
			t.Errorf("%s: event %s has no field %q", dir, name, v.fields[constructor])
		}
	}
}

// forEachNode visits the sources of a package that are no tests.
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

// selectorName returns X of an expression PACKAGE.X.
func selectorName(n ast.Node, of string) (string, bool) {
	selector, ok := n.(*ast.SelectorExpr)
	if !ok {
		return "", false
	}
	ident, ok := selector.X.(*ast.Ident)
	return selector.Sel.Name, ok && ident.Name == of
}

// stringLiteral returns an expression that is a text.
func stringLiteral(e ast.Expr) (string, bool) {
	lit, ok := e.(*ast.BasicLit)
	if !ok || lit.Kind != token.STRING {
		return "", false
	}
	text, err := strconv.Unquote(lit.Value)
	return text, err == nil
}

// loggedMessage returns the message of a call of a logger.
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
