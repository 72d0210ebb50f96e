package tomltext

import (
	"sort"
)

// maxQuotedBytes bounds how much of a text's own words a message repeats.
const maxQuotedBytes = 80

// Table reads the keys of one table. Each method records a problem when the key
// holds another type of value, and returns false when there is no usable value.
type Table struct {
	doc    *Document
	path   string
	values map[string]any
	known  map[string]bool
}

func newTable(d *Document, path string, values map[string]any) *Table {
	return &Table{doc: d, path: path, values: values, known: map[string]bool{}}
}

// Path returns the path of a key of this table; of the table itself for "".
func (t *Table) Path(key string) string {
	if key == "" {
		return t.path
	}
	return join(t.path, key)
}

// AddProblem records a problem with a key of this table.
func (t *Table) AddProblem(key, format string, args ...any) {
	t.doc.AddProblem(t.Path(key), format, args...)
}

// Has reports whether the key is set.
func (t *Table) Has(key string) bool {
	_, ok := t.values[key]
	return ok
}

// Value returns the key's value of whatever type.
func (t *Table) Value(key string) (any, bool) {
	t.known[key] = true
	v, ok := t.values[key]
	return v, ok
}

func valueOfType[T any](t *Table, key, want string) (T, bool) {
	v, ok := t.Value(key)
	if !ok {
		var zero T
		return zero, false
	}
	value, ok := v.(T)
	if !ok {
		t.AddProblem(key, "must be %s, not %s", want, typeName(v))
	}
	return value, ok
}

// String reads a string.
func (t *Table) String(key string) (string, bool) { return valueOfType[string](t, key, "a string") }

// Int reads an integer.
func (t *Table) Int(key string) (int64, bool) { return valueOfType[int64](t, key, "an integer") }

// Float reads a float or an integer.
func (t *Table) Float(key string) (float64, bool) {
	if v, ok := t.values[key].(int64); ok {
		t.known[key] = true
		return float64(v), true
	}
	return valueOfType[float64](t, key, "a number")
}

// Strings reads an array of strings.
func (t *Table) Strings(key string) []string {
	values, _ := valueOfType[[]any](t, key, "an array of strings")
	var out []string
	for i, v := range values {
		s, ok := v.(string)
		if !ok {
			t.doc.AddProblem(element(t.Path(key), i), "must be a string, not %s", typeName(v))
			continue
		}
		out = append(out, s)
	}
	return out
}

// Table reads a table.
func (t *Table) Table(key string) (*Table, bool) {
	values, ok := valueOfType[map[string]any](t, key, "a table")
	return newTable(t.doc, t.Path(key), values), ok
}

// Tables reads an array of tables.
func (t *Table) Tables(key string) []*Table {
	values, _ := valueOfType[[]any](t, key, "an array of tables, written [["+key+"]]")
	var out []*Table
	for i, v := range values {
		path := element(t.Path(key), i)
		m, ok := v.(map[string]any)
		if !ok {
			t.doc.AddProblem(path, "must be a table, not %s", typeName(v))
			continue
		}
		out = append(out, newTable(t.doc, path, m))
	}
	return out
}

// RejectUnknownKeys records a problem for each key that no method was called for. A
// misspelt key that is passed over in silence would leave its default in force.
func (t *Table) RejectUnknownKeys() {
	var unknown []string
	for key := range t.values {
		if !t.known[key] {
			unknown = append(unknown, key)
		}
	}
	sort.Strings(unknown)
	for _, key := range unknown {
		t.doc.AddProblem(t.Path(Shorten(key)), "is not a known key")
	}
}

// Shorten cuts text that is repeated in a message to a bounded length.
func Shorten(s string) string {
	if len(s) <= maxQuotedBytes {
		return s
	}
	return s[:maxQuotedBytes] + "..."
}

func typeName(v any) string {
	switch v.(type) {
	case string:
		return "a string"
	case int64:
		return "an integer"
	case float64:
		return "a float"
	case bool:
		return "a boolean"
	case []any:
		return "an array"
	case map[string]any:
		return "a table"
	}
	return "a date or time"
}
