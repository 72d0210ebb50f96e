package jobqueue

import (
	"slices"
	"strings"
)

// orderedMap is a map whose values are kept sorted by key. The planner iterates over all values
// many times a second; sorting them on each iteration took most of a planning round without
// changes.
type orderedMap[V any] struct {
	byKey map[string]V
	// keys is sorted, and values has the same order.
	keys   []string
	values []V
}

func newOrderedMap[V any]() orderedMap[V] { return orderedMap[V]{byKey: map[string]V{}} }

// get returns the value of a key, or the zero value if there is none.
func (o *orderedMap[V]) get(key string) V { return o.byKey[key] }

func (o *orderedMap[V]) put(key string, v V) {
	i, found := slices.BinarySearchFunc(o.keys, key, strings.Compare)
	o.byKey[key] = v
	if found {
		o.values[i] = v
		return
	}
	o.keys = slices.Insert(o.keys, i, key)
	o.values = slices.Insert(o.values, i, v)
}

func (o *orderedMap[V]) remove(key string) {
	i, found := slices.BinarySearchFunc(o.keys, key, strings.Compare)
	if !found {
		return
	}
	delete(o.byKey, key)
	o.keys = slices.Delete(o.keys, i, i+1)
	o.values = slices.Delete(o.values, i, i+1)
}
