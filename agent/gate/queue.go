package gate

// queue is a first-in first-out list that reuses its storage.
type queue[T any] struct {
	items []T
	head  int
}

func (q *queue[T]) push(v T) { q.items = append(q.items, v) }

func (q *queue[T]) peek() (v T, ok bool) {
	if q.head == len(q.items) {
		return v, false
	}
	return q.items[q.head], true
}

// pop removes the oldest item; the queue must not be empty.
func (q *queue[T]) pop() T {
	var zero T
	v := q.items[q.head]
	q.items[q.head] = zero
	q.head++
	if q.head*2 >= len(q.items) {
		n := copy(q.items, q.items[q.head:])
		clear(q.items[n:])
		q.items = q.items[:n]
		q.head = 0
	}
	return v
}
