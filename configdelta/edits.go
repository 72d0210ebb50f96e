package configdelta

import "slices"

// edit keeps the next keep items of the old list and replaces the following drop items with insert.
type edit[T any] struct {
	keep, drop int
	insert     []T
}

// differ compares two lists. Its functions define how to compare items.
type differ[T any] struct {
	// key returns the key of an item. Items whose key is unique in both lists can be anchors.
	key   func(T) string
	equal func(a, b T) bool
}

// diff returns the edits that turn the old list into the new one. It uses patience diff (Bram
// Cohen): the longest sequence of unique items that have the same order in both lists is kept, and
// so are the equal items at either end of each gap between two of them.
func (l differ[T]) diff(old, new []T) []edit[T] {
	var edits []edit[T]
	kept := 0
	diffGap := func(o0, o1, n0, n1 int) {
		prefix := 0
		for o0 < o1 && n0 < n1 && l.equal(old[o0], new[n0]) {
			o0, n0, prefix = o0+1, n0+1, prefix+1
		}
		kept += prefix
		suffix := 0
		for o0 < o1 && n0 < n1 && l.equal(old[o1-1], new[n1-1]) {
			o1, n1, suffix = o1-1, n1-1, suffix+1
		}
		if o0 < o1 || n0 < n1 {
			edits = append(edits, edit[T]{keep: kept, drop: o1 - o0, insert: new[n0:n1]})
			kept = 0
		}
		kept += suffix
	}
	o, n := 0, 0
	for _, a := range l.anchors(old, new) {
		diffGap(o, a.old, n, a.new)
		o, n = a.old, a.new
	}
	diffGap(o, len(old), n, len(new))
	return edits
}

// anchor is a pair of the positions of one item in the old and the new list.
type anchor struct{ old, new int }

// anchors returns the longest increasing subsequence of the pairs of items that are equal and whose
// key is unique in both lists.
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

// uniquePositions returns the position of each key, or -1 for a key that several items have.
func (l differ[T]) uniquePositions(items []T) map[string]int {
	at := make(map[string]int, len(items))
	for i, item := range items {
		key := l.key(item)
		if _, duplicate := at[key]; duplicate {
			i = -1
		}
		at[key] = i
	}
	return at
}

// longestIncreasingSubsequence returns the longest subsequence of pairs whose positions in the old
// list increase. The given pairs are in the order of the new list.
func longestIncreasingSubsequence(pairs []anchor) []anchor {
	// tails[k] is the index of the last pair of the best subsequence of length k+1, which is the one
	// that ends at the lowest old position.
	var tails []int
	predecessor := make([]int, len(pairs))
	for i, p := range pairs {
		k, _ := slices.BinarySearchFunc(tails, p.old, func(tail, old int) int { return pairs[tail].old - old })
		predecessor[i] = -1
		if k > 0 {
			predecessor[i] = tails[k-1]
		}
		if k == len(tails) {
			tails = append(tails, i)
			continue
		}
		tails[k] = i
	}
	longest := make([]anchor, len(tails))
	if len(tails) == 0 {
		return longest
	}
	for k, i := len(tails)-1, tails[len(tails)-1]; k >= 0; k, i = k-1, predecessor[i] {
		longest[k] = pairs[i]
	}
	return longest
}

// applyEdits returns the edited list, or false if the edits reach past its end.
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
