package schedule

import (
	"container/heap"

	"github.com/cairnlift/cairnlift/jobqueue"
)

// ranking holds the workers on which the tasks of a step may start, the best one first.
//
// All tasks of a step have the same requirements, and a start changes only the worker that gets it.
// So each worker is evaluated once per step, and again after each start that it gets. Evaluating
// all workers for each task would cost tasks times workers: 6,240 evaluations instead of 199 for a
// step of 39 tasks on 160 workers.
type ranking struct {
	r *round
	c *candidate
	// ranked is a heap of the workers that may get a task. refused counts the other workers by the
	// reason that rules them out.
	ranked  []rankedSlot
	refused [reasonCount]int
	// seen is the number of changes of the round that the ranking takes into account, while it is not in
	// use.
	seen int
}

// taskShape determines on which workers a task fits, for the tasks that have a shape.
type taskShape struct {
	pool, label string
	reserved    jobqueue.Resources
	backfill    bool
}

// shapeOf returns the shape of a candidate's tasks. It returns false if more than the shape determines
// which workers are feasible.
func shapeOf(c *candidate) (taskShape, bool) {
	spec := c.step.Spec
	special := c.queue.Advised || c.probation || spec.MaxPerWorker > 0
	return taskShape{c.queue.Pool, spec.RequiredLabel, jobqueue.Reserved(spec), spec.Backfill}, !special
}

// rankedSlot is a worker with its score and its index among all workers.
type rankedSlot struct {
	slot  *slot
	score float64
	index int
}

// rank evaluates all workers for a step. Once no worker has room for tasks of a shape, none gets room in
// the same round. Without that rule, a round of a full fleet with waiting tasks of 390 accounts would
// evaluate all workers 390 times.
func (r *round) rank(c *candidate) *ranking {
	k := &ranking{r: r, c: c}
	shape, shaped := shapeOf(c)
	shaped = shaped && !c.lastResort && !shape.backfill // backfill tasks are also ruled out by scores
	if refused, full := r.full[shape]; shaped && full {
		k.refused = refused
		return k
	}
	k.ranked, r.planner.rankBuffer = r.planner.rankBuffer[:0], nil
	if cap(k.ranked) < len(r.slots) {
		k.ranked = make([]rankedSlot, 0, len(r.slots))
	}
	for i, s := range r.slots {
		if score, reason := r.evaluate(c, s); reason == ReasonNone {
			k.ranked = append(k.ranked, rankedSlot{s, score, i})
		} else {
			k.refused[reason]++
		}
	}
	if len(k.ranked) == 0 && k.refused[ReasonDoubtful] > 0 && r.mayIgnoreDoubt(c) {
		c.ignoreDoubt = true
		return r.rank(c)
	}
	heap.Init(k)
	if shaped && len(k.ranked) == 0 {
		r.full[shape] = k.refused
	}
	return k
}

// release lets the next ranking use the memory of this one, which is not used any more.
func (k *ranking) release() {
	if cap(k.ranked) > cap(k.r.planner.rankBuffer) {
		k.r.planner.rankBuffer = k.ranked[:0]
	}
}

// refresh evaluates the workers again that got tasks of other steps since the ranking was last in use.
func (k *ranking) refresh() {
	changed := map[*slot]bool{}
	for _, s := range k.r.changes[k.seen:] {
		changed[s] = true
	}
	kept := k.ranked[:0]
	for _, e := range k.ranked {
		if changed[e.slot] {
			var reason Reason
			if e.score, reason = k.r.evaluate(k.c, e.slot); reason != ReasonNone {
				k.refused[reason]++
				continue
			}
		}
		kept = append(kept, e)
	}
	k.ranked = kept
	heap.Init(k)
}

// evaluate returns the score of a worker for the tasks of a step, or the reason that rules the
// worker out.
func (r *round) evaluate(c *candidate, s *slot) (float64, Reason) {
	if reason := r.feasible(c, s); reason != ReasonNone {
		return 0, reason
	}
	return r.score(c, s)
}

// best returns the worker with the highest score, the first one among equals, nil if there is none.
func (k *ranking) best() *slot {
	if len(k.ranked) == 0 {
		return nil
	}
	return k.ranked[0].slot
}

// reevaluateBest evaluates the best worker again after it got a task.
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

// Push implements heap.Interface. Nothing is added to a ranking once it is initialized.
func (k *ranking) Push(x any) { k.ranked = append(k.ranked, x.(rankedSlot)) }

// Pop implements heap.Interface.
func (k *ranking) Pop() any {
	last := len(k.ranked) - 1
	x := k.ranked[last]
	k.ranked = k.ranked[:last]
	return x
}
