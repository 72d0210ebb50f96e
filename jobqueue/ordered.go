package jobqueue

import (
	"slices"
	"strings"
)

// orderedMap is a map whose values are kept in the order of their keys: the planner goes
// through all of them many times a second, and to sort them anew each time took most of
// a round without news.
type orderedMap[V any] struct {
	byKey map[string]V
	// keys are sorted, and values are in the same order.
	keys   []string
	values []V
}

func newOrderedMap[V any]() orderedMap[V] { return orderedMap[V]{byKey: map[string]V{}} }

// get returns the value of a key, the zero value when there is none.
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
