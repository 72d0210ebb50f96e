package configdelta

import "slices"

// edit keeps the next keep old items, drops the drop that follow and puts insert
// in their place.
type edit[T any] struct {
	keep, drop int
	insert     []T
}

// differ says how to compare the items of a list.
type differ[T any] struct {
	// key names an item; items whose key is unique on both sides anchor the edits.
	key   func(T) string
	equal func(a, b T) bool
}

// diff returns edits that turn one list into another. It is patience diff (Bram
// Cohen): the longest run of unique items whose order is the same on both sides
// stays, and between two of them the equal items at either end do.
func (l differ[T]) diff(old, new []T) []edit[T] {
	var edits []edit[T]
	kept := 0
	gap := func(o0, o1, n0, n1 int) {
		front := 0
		for o0 < o1 && n0 < n1 && l.equal(old[o0], new[n0]) {
			o0, n0, front = o0+1, n0+1, front+1
		}
		kept += front
		back := 0
		for o0 < o1 && n0 < n1 && l.equal(old[o1-1], new[n1-1]) {
			o1, n1, back = o1-1, n1-1, back+1
		}
		if o0 < o1 || n0 < n1 {
			edits = append(edits, edit[T]{keep: kept, drop: o1 - o0, insert: new[n0:n1]})
			kept = 0
		}
		kept += back
	}
	o, n := 0, 0
	for _, a := range l.anchors(old, new) {
		gap(o, a.old, n, a.new)
		o, n = a.old, a.new
	}
	gap(o, len(old), n, len(new))
	return edits
}

// anchor pairs the positions of an item in both lists.
type anchor struct{ old, new int }

// anchors returns the longest increasing run of pairs of items that are equal and
// whose key is unique in both lists.
func (l differ[T]) anchors(old, new []T) []anchor {
	oldAt, newAt := l.uniquePositions(old), l.uniquePositions(new)
	var pairs []anchor
	for i, item := range new {
		key := l.key(item)
		o, ok := oldAt[key]
		if n, unique := newAt[key]; ok && unique && o >= 0 && n >= 0 && l.equal(old[o], item) {
			pairs = append(pairs, anchor{old: o, new: i})
		}
	}
	return longestIncreasingSubsequence(pairs)
}

// uniquePositions returns the position of each key, negative where several items have it.
func (l differ[T]) uniquePositions(items []T) map[string]int {
	at := make(map[string]int, len(items))
	for i, item := range items {
		key := l.key(item)
		if _, twice := at[key]; twice {
			i = -1
		}
		at[key] = i
	}
	return at
}

// longestIncreasingSubsequence returns the longest part of pairs, which are in the order of
// the new list, whose old positions increase.
func longestIncreasingSubsequence(pairs []anchor) []anchor {
	// tails[k] is the index of the pair that ends the best run of length k+1.
	var tails []int
	before := make([]int, len(pairs))
	for i, p := range pairs {
		k, _ := slices.BinarySearchFunc(tails, p.old, func(tail, old int) int { return pairs[tail].old - old })
		before[i] = -1
		if k > 0 {
			before[i] = tails[k-1]
		}
		if k == len(tails) {
			tails = append(tails, i)
			continue
		}
		tails[k] = i
	}
	run := make([]anchor, len(tails))
	if len(tails) == 0 {
		return run
	}
	for k, i := len(tails)-1, tails[len(tails)-1]; k >= 0; k, i = k-1, before[i] {
		run[k] = pairs[i]
	}
	return run
}

// applyEdits returns the edited list; false when the edits reach past its end.
func applyEdits[T any](old []T, edits []edit[T]) ([]T, bool) {
	if len(edits) == 0 {
		return old, true
	}
	var out []T
	for _, e := range edits {
		if e.keep > len(old) || e.drop > len(old)-e.keep {
			return nil, false
		}
		out = append(out, old[:e.keep]...)
		out = append(out, e.insert...)
		old = old[e.keep+e.drop:]
	}
	return append(out, old...), true
}
