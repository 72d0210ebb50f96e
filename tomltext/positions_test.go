package tomltext

import (
	"fmt"
	"strings"
	"testing"
)

// Symptom: an entry runs out of memory over a text of a few megabytes. Sequence:
// the text nests tables thousands deep, or puts many keys under a long one, and
// has an unknown key, so that lines are looked up. Cause: a path is kept for each
// key, as long as all keys around it together.
func TestLocateIsBounded(t *testing.T) {
	long := strings.Repeat("k", 4*maxPathBytes)
	deep := strings.Repeat("{a=", 2000) + "1" + strings.Repeat("}", 2000)
	for name, text := range map[string]string{
		"nested tables":     "x = 1\na = " + deep,
		"nested arrays":     "x = 1\na = " + strings.Repeat("[", 2000) + strings.Repeat("]", 2000),
		"dotted key":        "x = 1\n" + strings.Repeat("a.", 2000) + "a = 1",
		"below a long key":  "x = 1\n" + long + " = { a = 1, b = { c = 1 } }",
		"below long header": "x = 1\n[" + long + "]\na = 1\n[[" + long + ".b]]\nc = 1",
	} {
		doc := Parse([]byte(text))
		if problems := doc.Problems(); len(problems) > 0 {
			t.Fatal(name, problems)
		}
		doc.Root().RejectUnknownKeys()
		for path := range doc.positions.lines {
			if len(path) > maxPathBytes || strings.Count(path, ".")+strings.Count(path, "[") >= 2*maxKeyParts {
				t.Errorf("%s: a path of %d bytes is kept", name, len(path))
			}
		}
		if doc.Line("x") != 1 || doc.Line(fmt.Sprintf("a%s", strings.Repeat(".a", 3000))) > 2 {
			t.Errorf("%s: lines %v", name, doc.positions.lines)
		}
	}
}

// The first lines are reported and the rest is counted.
func TestProblemsAreBounded(t *testing.T) {
	var text strings.Builder
	const keys = maxCollectedProblems + 500
	for i := range keys {
		fmt.Fprintf(&text, "k%06d = 1\n", i)
	}
	doc := Parse([]byte(text.String()))
	doc.Root().RejectUnknownKeys()
	got := doc.Problems()
	rest := fmt.Sprintf("%d more", keys-MaxProblems)
	if len(got) != MaxProblems+1 || got[MaxProblems-1].Line != MaxProblems || !strings.HasPrefix(got[MaxProblems].Message, rest) {
		t.Errorf("%d problems, last %v", len(got), got[len(got)-1])
	}
}
