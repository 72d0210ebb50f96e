package schedule

import (
	"cmp"
	"container/heap"
	"maps"
	"slices"
	"time"

	"github.com/cairnlift/cairnlift/fairshare"
	"github.com/cairnlift/cairnlift/jobqueue"
)

// The accounts that compete for the workers at one priority take turns. The account with the lowest share
// over weight goes first, until another one has a lower share by more than shareQuantum.
//
// Starvation is bounded. An account with ready tasks at a priority goes before the others once it has
// had no start there for maxTurnWait, the one that has waited longest first, for one task or gang. If the
// task does not fit on any worker, a worker is kept for it until it does. So an account starts a task at
// the latest maxTurnWait after the last one, plus the time in which each account that is overdue for
// longer starts one task, plus the time until the runs on the worker that is kept for it have ended. The
// bound holds for capacity that higher priorities leave, and for tasks that only their size keeps waiting.
const (
	// maxTurnWait is half the half-life of past use. With 390 accounts that are all overdue, their turns
	// are 78 starts a second, which leaves most starts to the order by share.
	maxTurnWait = 5 * time.Second
	// keptWorkersDivisor limits the workers of a pool that are kept at a time, which idle in part.
	keptWorkersDivisor = 16
	// shareQuantum is the part of the capacity by which an account may exceed the next one before that
	// has its turn. It saves ranking all workers again for each task on a large fleet.
	shareQuantum = 0.002
)

// turnKey is an account that competes for the workers at a priority.
type turnKey struct {
	account  string
	priority uint32
}

// turnState is since when an account with ready tasks had no start, and the worker kept for it, if any.
type turnState struct {
	since  time.Time
	worker string
}

// turn is an account with its candidates of one priority.
type turn struct {
	key   turnKey
	queue []*candidate
	share float64
	since time.Time
	// overdue is set if the account has had no start for maxTurnWait.
	overdue bool
}

// turnHeap orders the accounts of one priority.
type turnHeap []*turn

// Len implements heap.Interface.
func (h turnHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h turnHeap) Less(i, j int) bool {
	a, b := h[i], h[j]
	switch {
	case a.overdue != b.overdue:
		return a.overdue
	case a.overdue && !a.since.Equal(b.since):
		return a.since.Before(b.since)
	case a.share != b.share:
		return a.share < b.share
	}
	return a.queue[0].position < b.queue[0].position
}

// Swap implements heap.Interface.
func (h turnHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface. Nothing is added to the heap once it is initialized.
func (h *turnHeap) Push(x any) { *h = append(*h, x.(*turn)) }

// Pop implements heap.Interface.
func (h *turnHeap) Pop() any {
	last := len(*h) - 1
	x := (*h)[last]
	*h = (*h)[:last]
	return x
}

// runnerUp returns the turn that follows the first one, nil if there is none.
func (h turnHeap) runnerUp() *turn {
	switch {
	case len(h) < 2:
		return nil
	case len(h) == 2 || h.Less(1, 2):
		return h[1]
	}
	return h[2]
}

// beginShares updates the ledger for the round.
func (r *round) beginShares(candidates []*candidate) {
	waiting := map[string]bool{}
	for i, c := range candidates {
		c.position = i
		waiting[c.job.Account()] = true
	}
	var capacity jobqueue.Resources
	for _, s := range r.slots {
		capacity = capacity.Add(s.worker.Capacity())
	}
	r.planner.ledger.Begin(fairshare.Round{
		Now: r.now, Capacity: capacity, InUse: r.planner.workloads.demands,
		Waiting: func(account string) bool { return waiting[account] }, Weights: r.machine.AccountWeight,
	})
}

// startGroup starts tasks of the candidates of one priority, or of the overdue probations, which are in
// the order by urgency. If they have one account and none is prioritized, they start in that order.
func (r *round) startGroup(group []*candidate) {
	h := r.turnsOf(group)
	prioritized := slices.ContainsFunc(group, func(c *candidate) bool { return c.job.Prioritized })
	if group[0].overdue || len(h) < 2 && !prioritized {
		for _, c := range group {
			r.startCandidate(c, nil)
		}
		return
	}
	r.startFirst(group, (*candidate).lostRun)
	r.startFirst(group, func(c *candidate) bool { return !c.lostRun() && c.job.Prioritized })
	r.contended = len(h) > 1
	r.takeTurns(h)
	r.contended = false
}

// startFirst starts tasks of the candidates that go before all turns.
func (r *round) startFirst(group []*candidate, first func(*candidate) bool) {
	for _, c := range group {
		if first(c) {
			r.startCandidate(c, nil)
		}
	}
}

// lostRun reports whether a long-running step has a waiting task that has had a run. Such candidates do
// not take turns: their users lack the task from the moment on in which it was lost.
func (c *candidate) lostRun() bool {
	return c.step.Spec.LongRunning && slices.ContainsFunc(c.tasks, func(i int) bool { return c.step.Tasks[i].LastRun > 0 })
}

// turnsOf groups the candidates that take turns by account.
func (r *round) turnsOf(group []*candidate) turnHeap {
	byAccount := map[string]*turn{}
	var h turnHeap
	for _, c := range group {
		key := turnKey{c.job.Account(), c.queue.Priority}
		state, known := r.turns[key]
		if !known {
			state, known = r.planner.turns[key]
		}
		if !known {
			state.since = r.now
		}
		r.turns[key] = state
		if c.lostRun() || c.job.Prioritized {
			continue
		}
		t := byAccount[key.account]
		if t == nil {
			t = &turn{key: key, share: r.planner.ledger.WeightedShare(key.account), since: state.since}
			t.overdue = r.now.Sub(t.since) >= maxTurnWait
			byAccount[key.account] = t
			h = append(h, t)
		}
		t.queue = append(t.queue, c)
	}
	return h
}

// takeTurns starts tasks of the accounts in turn.
func (r *round) takeTurns(h turnHeap) {
	heap.Init(&h)
	var lowest *turn
	for len(h) > 0 {
		t, next := h[0], h.runnerUp()
		// An account at its limit does not use a worker that is kept for it.
		if lowest == nil && !t.overdue && !r.limited(t.queue[0], 1) {
			lowest = t
		}
		r.mayKeep = t.overdue || t == lowest
		yields := func() bool {
			share := r.planner.ledger.WeightedShare(t.key.account)
			return next != nil && (t.overdue || (share-next.share)*r.machine.AccountWeight(t.key.account) > shareQuantum)
		}
		if r.startCandidate(t.queue[0], yields) {
			t.queue = t.queue[1:]
		}
		if len(t.queue) == 0 {
			heap.Pop(&h)
			continue
		}
		t.since = r.turns[t.key].since
		t.overdue = r.now.Sub(t.since) >= maxTurnWait
		t.share = r.planner.ledger.WeightedShare(t.key.account)
		heap.Fix(&h, 0)
	}
}

// recordTurn records that an account has started a task or a gang.
func (r *round) recordTurn(c *candidate) {
	r.turns[turnKey{c.job.Account(), c.queue.Priority}] = turnState{since: r.now}
}

// charge counts n tasks of a candidate against the share and the limits of its account and queue.
func (r *round) charge(c *candidate, n int) {
	demand := demandOf(c.step.Spec)
	account := c.job.Account()
	r.planner.ledger.Add(account, demand.Times(n))
	r.starts.add([]keyedWorkload{{workloadKey{account, keyOf(c.job.Queue)}, workload{demand, 1}}}, n)
}

// limited reports whether n more tasks of a candidate would exceed a limit of its account or queue.
func (r *round) limited(c *candidate, n int) bool {
	account, queue := c.job.Account(), c.queue.Limits
	limits := r.machine.AccountConfiguration(account).GetLimits()
	if limits == nil && queue == nil {
		return false
	}
	demand, key, running := demandOf(c.step.Spec), keyOf(c.job.Queue), r.planner.workloads
	return sum(running.accounts[account], r.starts.accounts[account]).exceeds(limits, demand, n) ||
		sum(running.queues[key], r.starts.queues[key]).exceeds(queue, demand, n)
}

// sum returns the sum of two workloads, either of which may be nil.
func sum(a, b *workload) workload {
	total := workload{}
	for _, w := range []*workload{a, b} {
		if w != nil {
			total.add(*w, 1)
		}
	}
	return total
}

// withoutHeld returns the candidates whose queue is not held, and records the others as unplaced.
func (r *round) withoutHeld(candidates []*candidate) []*candidate {
	return slices.DeleteFunc(candidates, func(c *candidate) bool {
		held := r.machine.QueueHeld(c.queue.GetName())
		if held {
			r.recordRuledOut(c, ReasonHeld)
		}
		return held
	})
}

// recordRuledOut records that a reason rules out all workers for the remaining tasks of a candidate.
func (r *round) recordRuledOut(c *candidate, reason Reason) {
	w := UnplacedStep{Step: c.key(), Tasks: len(c.tasks)}
	w.WorkersByReason[reason] = max(1, len(r.slots))
	r.decision.Unplaced = append(r.decision.Unplaced, w)
}

// keepWorker keeps a worker for a candidate that fits on none, so that it is not taken by smaller tasks of
// other accounts, nor of newer jobs. It does so for the account with the lowest share, one that is overdue, or a
// job that has waited too long. Where small
// tasks took each piece of capacity as it became free, an account with large ones got 0.3 of a full fleet
// of 32 workers in place of 0.5. Kept workers idle in part: 0.006 of that fleet. A worker is kept only if the
// task fits there once all runs that end by themselves have ended.
func (r *round) keepWorker(c *candidate) {
	key := turnKey{c.job.Account(), c.queue.Priority}
	state := r.turns[key]
	pool := c.queue.Pool
	shape, shaped := shapeOf(c)
	mayKeep := r.contended && r.mayKeep || c.urgency == waitedTooLong
	if !mayKeep || shaped && r.unkeepable[shape] || r.keptWorkers[pool] >= max(1, r.usableWorkers(pool)/keptWorkersDivisor) {
		return
	}
	var best *slot
	bestFit, needed := 0.0, jobqueue.Reserved(c.step.Spec)
	for _, s := range r.slots {
		if reason := r.feasible(c, s); reason != ReasonProcessors && reason != ReasonMemory && reason != ReasonAccelerators {
			continue
		}
		fit := fitOf(needed, s.available.Free())
		if s.worker.Spec.Id == state.worker {
			fit = 1
		}
		if (best == nil || fit > bestFit) && needed.Fits(s.worker.Capacity().Sub(s.longRunning)) {
			best, bestFit = s, fit
		}
	}
	if best == nil {
		r.unkeepable[shape] = r.unkeepable[shape] || shaped
		return
	}
	best.keptFor = c
	r.keptWorkers[pool]++
	state.worker = best.worker.Spec.Id
	r.turns[key] = state
}

// fitOf returns the least fraction of any needed resource that is free.
func fitOf(needed, free jobqueue.Resources) float64 {
	fit := 1.0
	for _, f := range [][2]int64{{needed.CPUMilli, free.CPUMilli}, {needed.MemoryMB, free.MemoryMB}, {needed.Accelerators, free.Accelerators}} {
		if f[0] > 0 {
			fit = min(fit, float64(f[1])/float64(f[0]))
		}
	}
	return fit
}

// keptForOther reports whether a worker is kept for another candidate. Backfill tasks take none of the
// processors that the other one lacks. Long-running tasks wait only for another account's turn: their users
// lack them at once.
func (r *round) keptForOther(c *candidate, s *slot) bool {
	if s.keptFor == nil || s.keptFor == c {
		return false
	}
	if c.step.Spec.LongRunning && !r.contended {
		return false
	}
	needed := jobqueue.Reserved(s.keptFor.step.Spec)
	needed.CPUMilli = 0
	return !c.step.Spec.Backfill || !needed.Fits(s.available.Free())
}

// AccountWait is an account with tasks that find no capacity.
type AccountWait struct {
	AccountShare
	Tasks int
	// Waited is the time since the last start of a task of the account at a priority with waiting ones.
	Waited time.Duration
}

// AccountShare is an account's dominant share of the fleet's capacity, decayed over the last seconds.
type AccountShare struct {
	Account       string
	Share, Weight float64
}

// AccountShare returns the dominant share of an account as of the last round.
func (p *Planner) AccountShare(account string) float64 { return p.ledger.Share(account) }

// AccountShares returns the shares of all accounts with running tasks as of the last round, the highest
// share over weight first.
func (p *Planner) AccountShares(m *jobqueue.Machine) []AccountShare {
	var list []AccountShare
	for account := range maps.Keys(p.workloads.accounts) {
		list = append(list, p.shareOf(m, account))
	}
	slices.SortFunc(list, func(a, b AccountShare) int {
		return cmp.Or(cmp.Compare(b.Share/b.Weight, a.Share/a.Weight), cmp.Compare(a.Account, b.Account))
	})
	return list
}

func (p *Planner) shareOf(m *jobqueue.Machine, account string) AccountShare {
	return AccountShare{account, p.ledger.Share(account), m.AccountWeight(account)}
}

// recordWaitingAccounts adds the accounts whose tasks found no capacity to the decision, if there are
// other accounts that use some.
func (r *round) recordWaitingAccounts() {
	if len(r.unplacedByAccount) == 0 {
		return
	}
	since := map[string]time.Time{}
	for key, state := range r.turns {
		if at, known := since[key.account]; !known || state.since.Before(at) {
			since[key.account] = state.since
		}
	}
	using := r.planner.workloads.accounts
	for account, tasks := range r.unplacedByAccount {
		if len(using) == 0 || len(using) == 1 && using[account] != nil {
			continue
		}
		r.decision.WaitingAccounts = append(r.decision.WaitingAccounts,
			AccountWait{AccountShare: r.planner.shareOf(r.machine, account), Tasks: tasks, Waited: r.now.Sub(since[account])})
	}
	slices.SortFunc(r.decision.WaitingAccounts, func(a, b AccountWait) int {
		return cmp.Or(cmp.Compare(a.Share/a.Weight, b.Share/b.Weight), cmp.Compare(a.Account, b.Account))
	})
}
