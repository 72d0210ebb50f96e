package spec

import (
	"slices"
	"strings"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

// Action says what a change does to an item.
type Action string

// What a change does.
const (
	ActionAdd    Action = "add"
	ActionRemove Action = "remove"
	ActionChange Action = "change"
)

// FieldChange is one key that differs; a value is empty where the key is not set.
type FieldChange struct {
	Key string `json:"key"`
	Old string `json:"old,omitempty"`
	New string `json:"new,omitempty"`
}

// ItemChange is one table that differs between two configurations.
type ItemChange struct {
	Action Action `json:"action"`
	// Table is service, job, team or policy.
	Table string `json:"table"`
	// Name is empty for the policy.
	Name   string        `json:"name,omitempty"`
	Fields []FieldChange `json:"fields,omitempty"`
}

// String formats the change as lines that start with +, - or ~.
func (c ItemChange) String() string {
	title := strings.TrimSpace(c.Table + " " + c.Name)
	switch c.Action {
	case ActionAdd:
		return "+ " + title
	case ActionRemove:
		return "- " + title
	}
	lines := []string{"~ " + title}
	for _, f := range c.Fields {
		lines = append(lines, "    "+f.Key+": "+orUnset(f.Old)+" -> "+orUnset(f.New))
	}
	return strings.Join(lines, "\n")
}

func orUnset(value string) string {
	if value == "" {
		return "(unset)"
	}
	return value
}

type itemKey struct{ table, name string }

// Diff returns what turns the old configuration into the new one, in the order
// of the new text, removals last. Either may be nil.
func Diff(old, new *apiv1.Configuration) []ItemChange {
	before := map[itemKey]item{}
	for _, i := range items(old) {
		before[itemKey{i.table, i.name}] = i
	}
	var changes []ItemChange
	after := map[itemKey]bool{}
	for _, i := range items(new) {
		key := itemKey{i.table, i.name}
		after[key] = true
		was, existed := before[key]
		if !existed {
			changes = append(changes, ItemChange{Action: ActionAdd, Table: i.table, Name: i.name})
			continue
		}
		if fields := diffFields(was.fields, i.fields); len(fields) > 0 {
			changes = append(changes, ItemChange{Action: ActionChange, Table: i.table, Name: i.name, Fields: fields})
		}
	}
	for _, i := range items(old) {
		if !after[itemKey{i.table, i.name}] {
			changes = append(changes, ItemChange{Action: ActionRemove, Table: i.table, Name: i.name})
		}
	}
	return changes
}

func diffFields(old, new []field) []FieldChange {
	var out []FieldChange
	for _, f := range new {
		if was := valueOf(old, f.key); was != f.value {
			out = append(out, FieldChange{Key: f.key, Old: was, New: f.value})
		}
	}
	for _, f := range old {
		if valueOf(new, f.key) == "" {
			out = append(out, FieldChange{Key: f.key, Old: f.value})
		}
	}
	return out
}

func valueOf(fields []field, key string) string {
	i := slices.IndexFunc(fields, func(f field) bool { return f.key == key })
	if i < 0 {
		return ""
	}
	return fields[i].value
}
