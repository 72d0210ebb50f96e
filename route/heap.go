package route

// heapItem is what an itemHeap orders. An item knows its place in the heap, so that it can
// be moved or removed.
type heapItem[T any] interface {
	before(T) bool
	heapIndex() *int
}

// itemHeap implements heap.Interface.
type itemHeap[T heapItem[T]] []T

func (h itemHeap[T]) Len() int           { return len(h) }
func (h itemHeap[T]) Less(i, j int) bool { return h[i].before(h[j]) }
func (h itemHeap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	*h[i].heapIndex(), *h[j].heapIndex() = i, j
}

func (h *itemHeap[T]) Push(x any) {
	item := x.(T)
	*item.heapIndex() = len(*h)
	*h = append(*h, item)
}

func (h *itemHeap[T]) Pop() any {
	last := len(*h) - 1
	item := (*h)[last]
	var none T
	(*h)[last] = none
	*h = (*h)[:last]
	return item
}
