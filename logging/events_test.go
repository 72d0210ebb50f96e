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
)

// documentedPackages are those whose lines docs/OPERATIONS.md lists, each with what
// it means.
var documentedPackages = []string{"dispatch", "agent/runs", "platform", "jobclient"}

// TestEventsAreDocumented compares the table of lines with the code: a line that the
// table lacks can't be understood, one that the code lacks is waited for in vain.
func TestEventsAreDocumented(t *testing.T) {
	var logged []string
	for _, p := range documentedPackages {
		logged = append(logged, eventsOf(t, filepath.Join("..", p))...)
	}
	page, err := os.ReadFile("../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	documented := documentedEvents(string(page))
	for _, e := range logged {
		if !slices.Contains(documented, e) {
			t.Errorf("%q is logged and not in the table", e)
		}
	}
	for _, e := range documented {
		if !slices.Contains(logged, e) {
			t.Errorf("%q is in the table and never logged", e)
		}
	}
}

// documentedEvents returns the quoted names in the first column of the table of
// lines.
func documentedEvents(page string) []string {
	_, table, _ := strings.Cut(page, "| line | part | what it means |")
	quoted := regexp.MustCompile("`([^`]+)`")
	var events []string
	for _, row := range strings.Split(table, "\n")[1:] {
		if !strings.HasPrefix(row, "|") {
			break
		}
		for _, m := range quoted.FindAllStringSubmatch(strings.Split(row, "|")[1], -1) {
			events = append(events, m[1])
		}
	}
	return events
}

// eventsOf returns the messages that a package logs.
func eventsOf(t *testing.T, dir string) []string {
	t.Helper()
	var events []string
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
			if event, ok := loggedBy(n); ok {
				events = append(events, event)
			}
			return true
		})
	}
	return events
}

// loggedBy returns the message of a call of a logger.
func loggedBy(n ast.Node) (string, bool) {
	call, ok := n.(*ast.CallExpr)
	if !ok || len(call.Args) == 0 {
		return "", false
	}
	method, ok := call.Fun.(*ast.SelectorExpr)
	if !ok || !slices.Contains([]string{"Debug", "Info", "Warn", "Error"}, method.Sel.Name) {
		return "", false
	}
	text, ok := call.Args[0].(*ast.BasicLit)
	if !ok || text.Kind != token.STRING {
		return "", false
	}
	event, err := strconv.Unquote(text.Value)
	return event, err == nil
}
