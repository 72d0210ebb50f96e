package schedule

import (
	"maps"
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/jobqueue"
)

const (
	// straggleLag is by how many percent points a run must be behind the middle of its step. Runs of
	// one step start within some tenths of a second of each other, which is less.
	straggleLag = 30
	// straggleInterval is the time from one search for stragglers to the next. Progress is reported
	// twice a second.
	straggleInterval = 500 * time.Millisecond
	// moveCost is the time that a move or a copy takes until the task progresses again: the order
	// takes up to 0.9 s to reach a worker, and up to 0.5 s of work has no checkpoint.
	moveCost = 1400 * time.Millisecond
	// maxCopyShare is the part of a pool's processors that copies may reserve. It covers the 3 tasks
	// in 100 that callers report as stragglers, and copies that lose waste no more than that.
	maxCopyShare = 0.05
	// straggleRetry is the time after which a decision about a straggler that took no effect is
	// made again: its plan was not committed.
	straggleRetry = 5 * time.Second
	// maxStraggles bounds the moves and copies of one search. A slow availability zone shows all of
	// its runs as stragglers at once.
	maxStraggles = 4
)

// StragglerCounts counts what was done about stragglers.
type StragglerCounts struct {
	CopiesStarted, CopiesWon, CopiesWasted, Moves int64
}

// stragglers keeps the stragglers that were handled.
type stragglers struct {
	searchedAt time.Time
	// handled are the tasks with an open job that were moved or copied.
	handled map[jobqueue.TaskID]handledStraggler
	// copies are the copies that have not ended.
	copies map[jobqueue.RunID]*runCopy
	counts StragglerCounts
}

// handledStraggler is a decision about a run of a task.
type handledStraggler struct {
	run uint64
	at  time.Time
}

type runCopy struct {
	task      *jobqueue.Task
	pool      string
	cpuMilli  int64
	decidedAt time.Time
	// begun is set once the start was found in the applied state.
	begun bool
}

func newStragglers() *stragglers {
	return &stragglers{handled: map[jobqueue.TaskID]handledStraggler{}, copies: map[jobqueue.RunID]*runCopy{}}
}

// Stragglers returns the counts since the planner was created.
func (p *Planner) Stragglers() StragglerCounts {
	if p.stragglers == nil {
		return StragglerCounts{}
	}
	return p.stragglers.counts
}

// handleStragglers moves or copies runs that are far behind the others of their step because their
// worker slows them. A task that progresses slowly on a worker at the usual rate has more work, and
// would take as long elsewhere.
func (r *round) handleStragglers() {
	state := r.planner.stragglers
	if state == nil || r.now.Sub(state.searchedAt) < straggleInterval {
		return
	}
	state.searchedAt = r.now
	state.prune(r.machine, r.now)
	handled := 0
	for _, s := range r.slots {
		if s.rate == nil || s.rate.Rate >= doubtfulRate || s.rate.Samples < minRatedSamples {
			continue
		}
		for _, run := range s.worker.RunsMatching(r.isStraggler) {
			if handled < maxStraggles && r.handleStraggler(run, s) {
				state.handled[run.ID.Task] = handledStraggler{run: run.ID.Number, at: r.now}
				handled++
			}
		}
	}
}

// isStraggler reports whether a run may be moved or copied and is far behind the others of its step.
// A task without others is compared with what its image usually makes, by the rate of its worker.
func (r *round) isStraggler(run *jobqueue.Run) bool {
	spec := run.Step
	if run.Stopping || run.OnProbation || r.stopped[run.ID] || spec.LongRunning || spec.Gang || !spec.Checkpointing && !spec.AllowDuplicates {
		return false
	}
	id := run.ID.Task
	task := r.machine.Task(id)
	if h, known := r.planner.stragglers.handled[id]; known && (task.LastRun > h.run || r.now.Sub(h.at) < straggleRetry) {
		return false
	}
	o, seen := r.fleet.Observed(run.ID)
	if !seen || len(task.Runs) > 1 {
		return false
	}
	var others []float64
	for i, t := range run.Job().Occurrences[id.Occurrence].Steps[id.Step].Tasks {
		if uint32(i) == id.Index {
			continue
		}
		percent := 0.0
		if t.Done {
			percent = 100
		}
		for _, other := range t.Runs {
			if seen, known := r.fleet.Observed(other.ID); known {
				percent = max(percent, float64(seen.Percent))
			}
		}
		others = append(others, percent)
	}
	return len(others) == 0 || float64(o.Percent)+straggleLag <= median(others)
}

// handleStraggler moves or copies a straggler if another worker would end it sooner by more than
// that costs. It reports whether it did.
func (r *round) handleStraggler(run *jobqueue.Run, current *slot) bool {
	c, s := r.elsewhere(run, current)
	if s == nil {
		return false
	}
	o, _ := r.fleet.Observed(run.ID)
	usual := r.planner.durations.expected(run.Step).Seconds()
	left := 1 - float64(o.Percent)/100
	here, there := left*usual/current.rate.Rate, usual
	if run.Step.Checkpointing && o.Checkpoint != "" {
		there = left * usual
	}
	if s.rate != nil {
		there /= min(1, s.rate.Rate)
	}
	if here-there <= moveCost.Seconds() {
		return false
	}
	if run.Step.Checkpointing {
		r.reserveFor(c, s)
		r.stop(run.ID, "worker is slow, another one ends it sooner")
		r.planner.stragglers.counts.Moves++
		return true
	}
	return r.copyRun(c, run, s)
}

// copyRun starts a second run of a task within the share of copies.
func (r *round) copyRun(c *candidate, run *jobqueue.Run, s *slot) bool {
	pool, state := c.queue.Pool, r.planner.stragglers
	reserved := run.Step.CpuMilli
	for _, other := range state.copies {
		if other.pool == pool {
			reserved += other.cpuMilli
		}
	}
	capacity := int64(0)
	for _, other := range r.slots {
		if other.acceptsStarts() && other.worker.Spec.Pool == pool {
			capacity += other.worker.Spec.CpuMilli
		}
	}
	task := r.machine.Task(run.ID.Task)
	if float64(reserved) > maxCopyShare*float64(capacity) || task.Crashes.Similar() > 0 {
		return false
	}
	index := int(run.ID.Task.Index)
	number := c.step.NextRun(index)
	r.start(c, index, s, number)
	state.copies[jobqueue.RunID{Task: run.ID.Task, Number: number}] = &runCopy{
		task: task, pool: pool, cpuMilli: run.Step.CpuMilli, decidedAt: r.now,
	}
	return true
}

// prune drops the tasks of finished jobs, and the copies that were not started or were lost with
// their worker.
func (s *stragglers) prune(m *jobqueue.Machine, now time.Time) {
	maps.DeleteFunc(s.handled, func(id jobqueue.TaskID, _ handledStraggler) bool {
		j := m.Job(id.Job)
		return j == nil || !j.Open()
	})
	for id, c := range s.copies {
		if m.Run(id) != nil {
			s.begin(c)
		} else if c.begun || now.Sub(c.decidedAt) > straggleRetry {
			s.endCopy(id, false)
		}
	}
}

func (s *stragglers) begin(c *runCopy) {
	if !c.begun {
		c.begun = true
		s.counts.CopiesStarted++
	}
}

// recordEnd counts the end of a copy. It has won if it was the first run of its task to succeed.
func (s *stragglers) recordEnd(e EndedRun) {
	if s == nil {
		return
	}
	if c := s.copies[e.Run]; c != nil {
		s.begin(c)
		s.endCopy(e.Run, e.Kind == apiv1.RunEndKind_RUN_END_KIND_DONE && !c.task.Done)
	}
}

// endCopy counts a copy once. A copy that never began is not counted.
func (s *stragglers) endCopy(id jobqueue.RunID, won bool) {
	c := s.copies[id]
	delete(s.copies, id)
	switch {
	case won:
		s.counts.CopiesWon++
	case c.begun:
		s.counts.CopiesWasted++
	}
}
