package jobqueue

import (
	"fmt"
	"maps"
	"math/rand"
	"slices"
	"testing"
)

// Symptom: replicas go through jobs or workers in different orders and decide
// differently. Sequence: values are put, replaced and removed at random; the order is
// compared with that of a plain map's sorted keys. Cause: keys and values that no longer
// stand at the same places.
func TestOrderedMapKeepsKeyOrder(t *testing.T) {
	random := rand.New(rand.NewSource(1))
	o, plain := newOrderedMap[int](), map[string]int{}
	for i := range 5000 {
		key := fmt.Sprintf("k%d", random.Intn(200))
		if random.Intn(3) == 0 {
			o.remove(key)
			delete(plain, key)
		} else {
			o.put(key, i)
			plain[key] = i
		}
		keys := slices.Sorted(maps.Keys(plain))
		if !slices.Equal(o.keys, keys) || !maps.Equal(o.byKey, plain) {
			t.Fatalf("after %d changes: %v, want %v", i+1, o.keys, keys)
		}
		for at, k := range keys {
			if o.values[at] != plain[k] {
				t.Fatalf("after %d changes: %s has %d, want %d", i+1, k, o.values[at], plain[k])
			}
		}
	}
}
