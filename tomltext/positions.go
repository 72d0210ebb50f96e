package tomltext

import (
	"fmt"
	"sort"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// Bounds of the keys that are located; what lies deeper is unknown in any case
// and is reported at its parent's line. Without them a text of 4 MB with nested
// tables, or with one long key over many short ones, makes gigabytes of paths.
const (
	maxKeyParts  = 8
	maxPathBytes = 512
)

// positions maps the path of each key and table header to its line.
type positions struct {
	lines    map[string]int
	newlines []int
	// elementCounts counts the headers seen of each array of tables.
	elementCounts map[string]int
}

func locateKeys(text []byte) *positions {
	p := &positions{lines: map[string]int{}, elementCounts: map[string]int{}}
	for i, c := range text {
		if c == '\n' {
			p.newlines = append(p.newlines, i)
		}
	}
	parser := unstable.Parser{}
	parser.Reset(text)
	table := ""
	for parser.NextExpression() {
		e := parser.Expression()
		switch e.Kind {
		case unstable.Table, unstable.ArrayTable:
			table = p.header(e)
		case unstable.KeyValue:
			p.keyValue(table, e, maxKeyParts)
		}
	}
	return p
}

// header records a table header and returns the path of its table.
func (p *positions) header(e *unstable.Node) string {
	path := ""
	parts := keyParts(e)
	for i, part := range parts {
		line := p.lineAt(part.Raw.Offset)
		path = join(path, string(part.Data))
		p.recordLine(path, line)
		if i == len(parts)-1 && e.Kind == unstable.ArrayTable {
			p.elementCounts[path]++
		}
		if n := p.elementCounts[path]; n > 0 {
			path = element(path, n-1)
			p.recordLine(path, line)
		}
	}
	return path
}

func (p *positions) keyValue(table string, e *unstable.Node, depth int) {
	path := table
	for _, part := range keyParts(e) {
		if len(path) > maxPathBytes {
			return
		}
		path = join(path, string(part.Data))
		p.recordLine(path, p.lineAt(part.Raw.Offset))
	}
	p.value(path, e.Value(), depth-1)
}

// value records the keys of inline tables, also of those within arrays.
func (p *positions) value(path string, v *unstable.Node, depth int) {
	if depth == 0 || len(path) > maxPathBytes {
		return
	}
	switch v.Kind {
	case unstable.InlineTable:
		for it := v.Children(); it.Next(); {
			p.keyValue(path, it.Node(), depth)
		}
	case unstable.Array:
		index := 0
		for it := v.Children(); it.Next(); index++ {
			p.value(element(path, index), it.Node(), depth-1)
		}
	}
}

// recordLine keeps the first line of a path.
func (p *positions) recordLine(path string, line int) {
	if _, known := p.lines[path]; !known && len(path) <= maxPathBytes {
		p.lines[path] = line
	}
}

func (p *positions) lineAt(offset uint32) int {
	return sort.SearchInts(p.newlines, int(offset)) + 1
}

// line returns the line of a path, or of the nearest table around it.
func (p *positions) line(path string) int {
	for path != "" {
		if n, ok := p.lines[path]; ok {
			return n
		}
		path = path[:max(strings.LastIndexAny(path, ".["), 0)]
	}
	return 0
}

func keyParts(e *unstable.Node) []*unstable.Node {
	var parts []*unstable.Node
	for it := e.Key(); it.Next() && len(parts) < maxKeyParts; {
		parts = append(parts, it.Node())
	}
	return parts
}

func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

func element(path string, index int) string { return fmt.Sprintf("%s[%d]", path, index) }
