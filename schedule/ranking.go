package schedule

import "container/heap"

// ranking holds the workers that a step's tasks may start on, the best one first.
//
// All tasks of a step ask the same of a worker, and a start changes only the worker that
// gets it: so each worker is judged once a step, and again after each start that it gets.
// With a look at all workers for each task, a round takes tasks times workers: a step of
// 39 tasks on 160 workers 6,240 judgements in place of 199.
type ranking struct {
	r *round
	c *candidate
	// ranked is a heap of those that may get a task; refused counts the others by the
	// reason against them.
	ranked  []rankedSlot
	refused [reasonCount]int
}

// rankedSlot is a worker with its score, and its place among all workers.
type rankedSlot struct {
	slot  *slot
	score float64
	index int
}

// rank judges all workers for a step.
func (r *round) rank(c *candidate) *ranking {
	k := &ranking{r: r, c: c}
	for i, s := range r.slots {
		if score, reason := r.evaluate(c, s); reason == ReasonNone {
			k.ranked = append(k.ranked, rankedSlot{s, score, i})
		} else {
			k.refused[reason]++
		}
	}
	heap.Init(k)
	return k
}

// evaluate is a worker's score for a step's tasks, or what speaks against it.
func (r *round) evaluate(c *candidate, s *slot) (float64, Reason) {
	if reason := r.feasible(c, s); reason != ReasonNone {
		return 0, reason
	}
	return r.score(c, s)
}

// best returns the worker with the highest score, the first among equals; nil when there
// is none.
func (k *ranking) best() *slot {
	if len(k.ranked) == 0 {
		return nil
	}
	return k.ranked[0].slot
}

// reevaluateBest judges the best worker again, after it got a task.
func (k *ranking) reevaluateBest() {
	score, reason := k.r.evaluate(k.c, k.ranked[0].slot)
	if reason != ReasonNone {
		k.refused[reason]++
		heap.Pop(k)
		return
	}
	k.ranked[0].score = score
	heap.Fix(k, 0)
}

// Len implements heap.Interface.
func (k *ranking) Len() int { return len(k.ranked) }

// Less implements heap.Interface.
func (k *ranking) Less(i, j int) bool {
	a, b := k.ranked[i], k.ranked[j]
	if a.score != b.score {
		return a.score > b.score
	}
	return a.index < b.index
}

// Swap implements heap.Interface.
func (k *ranking) Swap(i, j int) { k.ranked[i], k.ranked[j] = k.ranked[j], k.ranked[i] }

// Push implements heap.Interface; nothing is ever added to a ranking.
func (k *ranking) Push(x any) { k.ranked = append(k.ranked, x.(rankedSlot)) }

// Pop implements heap.Interface.
func (k *ranking) Pop() any {
	last := len(k.ranked) - 1
	x := k.ranked[last]
	k.ranked = k.ranked[:last]
	return x
}
