package account

import "container/list"

// Other is the name under which accounts are counted that have no value of their own in a Table.
const Other = "other"

// Table holds a value for each of a bounded number of accounts. When another account needs a value, that
// of the least recently used account is merged into the value of Other. It is not safe for concurrent
// use.
type Table[V any] struct {
	limit int
	// merge adds the value of an account to that of Other.
	merge func(name string, value, other *V)
	// byName refers to the elements of recent, which contains *tableEntry[V], the most recently used
	// first.
	byName map[string]*list.Element
	recent *list.List
	other  V
}

type tableEntry[V any] struct {
	name  string
	value V
}

// NewTable returns an empty table of at most limit accounts, at least one, in addition to Other. merge
// is called with the value of an account that loses it, and that of Other.
func NewTable[V any](limit int, merge func(name string, value, other *V)) *Table[V] {
	return &Table[V]{limit: max(1, limit), merge: merge, byName: map[string]*list.Element{}, recent: list.New()}
}

// Use returns the value of an account, a zero value for one that has none yet. The account counts as the
// most recently used one. The pointer is valid until the next call of Use.
func (t *Table[V]) Use(name string) *V {
	if name == Other {
		return &t.other
	}
	if e := t.byName[name]; e != nil {
		t.recent.MoveToFront(e)
		return &e.Value.(*tableEntry[V]).value
	}
	if len(t.byName) >= t.limit {
		oldest := t.recent.Remove(t.recent.Back()).(*tableEntry[V])
		delete(t.byName, oldest.name)
		t.merge(oldest.name, &oldest.value, &t.other)
	}
	entry := &tableEntry[V]{name: name}
	t.byName[name] = t.recent.PushFront(entry)
	return &entry.value
}

// Get returns the value of an account without using it, that of Other if it has none.
func (t *Table[V]) Get(name string) *V {
	if e := t.byName[name]; e != nil {
		return &e.Value.(*tableEntry[V]).value
	}
	return &t.other
}

// Len returns the number of accounts with a value of their own.
func (t *Table[V]) Len() int { return len(t.byName) }
