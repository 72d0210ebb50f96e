package crashloop

import (
	"slices"
	"time"
)

const (
	// ImmediateCrashMax is the longest time that a run has worked if its start certainly crashed the
	// worker, provided that nothing else had just started.
	ImmediateCrashMax = 100 * time.Millisecond
	// RecentStartMax is the longest time that a run has worked if its start may have crashed the
	// worker.
	RecentStartMax = 500 * time.Millisecond
	// MaxBlameRuntime is the time that a run has worked from which on a crash of its worker is not
	// attributed to it.
	MaxBlameRuntime = 10 * time.Second
	// UnknownRuntime is the MaxRuntime of a crash without a known upper bound.
	UnknownRuntime time.Duration = -1
	// similarityPercent, a percentage of the runtime, and similarityMargin are the tolerance within
	// which the runtimes of two runs that crash their workers count as similar.
	similarityPercent = 10
	similarityMargin  = 20 * time.Millisecond
	percent           = 100
	// MaxSoleCauseCrashes is the number of crashes after which a task reaches the limit if each crash
	// occurred immediately after the start of the task and of no task of another step.
	MaxSoleCauseCrashes = 2
	// RepeatedCrashes is the number of crashes after which the starts of a task are counted, and
	// MaxStartsAfterRepeatedCrashes the number of starts that may follow. RepeatedCrashes is one crash
	// less than callers allow, since one crash may go unobserved.
	RepeatedCrashes               = 2
	MaxStartsAfterRepeatedCrashes = 2
	// maxStoredCrashes bounds the crashes that are stored for a task.
	maxStoredCrashes = 8
)

// Crash is the crash of a worker under one run of a task.
type Crash struct {
	// Event identifies the crash of the worker; 0 while it is not known what ended the run.
	Event uint64
	// Run is the number of the run.
	Run uint64
	// MinRuntime and MaxRuntime bound how long the run had worked. MaxRuntime may be UnknownRuntime.
	MinRuntime, MaxRuntime time.Duration
	// Began: the worker is known to have begun the run.
	Began bool
	// OnProbation: the run was on probation.
	OnProbation bool
	// RecentStart: the run had just started or was on probation, so that it is suspect.
	RecentStart bool
	// SoleCause: the run had just started, and no task of another step had.
	SoleCause bool
	// Excused: the crash has another cause.
	Excused bool
	// Outlived: a later run has worked for longer than this one.
	Outlived bool
	// Starts counts the starts of the task since the run.
	Starts uint32
}

// History is what is known of the crashes under a task since its runs last proved that it does not
// crash its workers. The zero value is an empty history.
type History struct {
	// Crashes are the crashes, oldest first.
	Crashes []Crash
	// Survived is a time for which a run has worked without crashing its worker.
	Survived time.Duration
}

// Add adds a crash.
func (h *History) Add(c Crash) {
	h.DropLost(c.Run)
	if c.MinRuntime >= MaxBlameRuntime {
		*h = History{}
		return
	}
	least, _ := c.window()
	h.recordSurvival(least)
	h.Crashes = append(h.Crashes, c)
	h.Crashes = h.Crashes[max(0, len(h.Crashes)-maxStoredCrashes):]
}

// recordSurvival records that a run has worked for some time without crashing its worker.
func (h *History) recordSurvival(worked time.Duration) {
	h.Survived = max(h.Survived, worked)
	for i, c := range h.Crashes {
		_, most := c.window()
		h.Crashes[i].Outlived = c.Outlived || most <= worked
	}
}

// AddLost records that a run was lost with a worker that has become unreachable. It may have crashed.
func (h *History) AddLost(run uint64, startsSince uint32) {
	h.Add(Crash{Run: run, MinRuntime: 0, MaxRuntime: UnknownRuntime, Starts: startsSince})
}

// DropLost removes a lost run: its worker did not crash.
func (h *History) DropLost(run uint64) {
	for i, c := range h.Crashes {
		if c.Run == run && c.Event == 0 {
			h.Crashes = append(h.Crashes[:i:i], h.Crashes[i+1:]...)
			return
		}
	}
}

// Excuse records that the crash of an event has another cause.
func (h *History) Excuse(event uint64) {
	for i := range h.Crashes {
		if h.Crashes[i].Event == event {
			h.Crashes[i].Excused = true
		}
	}
}

// RecordStart counts a start of the task.
func (h *History) RecordStart() {
	for i := range h.Crashes {
		h.Crashes[i].Starts++
	}
}

// UndoStart reverts RecordStart for a run that never began.
func (h *History) UndoStart(run uint64) {
	for i, c := range h.Crashes {
		if c.Run < run && c.Starts > 0 {
			h.Crashes[i].Starts--
		}
	}
}

// PassProbation records that a run on probation has worked for some time, at least Probation.
func (h *History) PassProbation(worked time.Duration) { h.recordSurvival(worked) }

// Probation returns how long a run must work to pass its probation. After repeated crashes, this
// covers every runtime after which the task may have caused them, up to MaxBlameRuntime.
func (h *History) Probation() time.Duration {
	longest := MaxBlameRuntime
	similar := 0
	for _, c := range h.Crashes {
		if h.mayHaveCaused(c) {
			_, most := c.window()
			longest = min(longest, most)
			similar++
		}
	}
	if similar == 0 || len(h.Crashes) < RepeatedCrashes {
		return RecentStartMax
	}
	return max(RecentStartMax, longest)
}

// Suspect reports whether the next run needs a probation.
func (h *History) Suspect() bool {
	similar := h.Similar()
	if similar >= RepeatedCrashes || similar > 0 && len(h.Crashes) > RepeatedCrashes {
		return true
	}
	for i := len(h.Crashes) - 1; i >= 0; i-- {
		if c := h.Crashes[i]; c.MaxRuntime != UnknownRuntime && !c.Excused {
			return c.RecentStart && h.mayHaveCaused(c)
		}
	}
	return false
}

// LimitReached reports whether the task has reached the crash limit and must not be started again.
func (h *History) LimitReached() bool {
	if h.SoleCauses() >= MaxSoleCauseCrashes {
		return true
	}
	if h.Similar() < RepeatedCrashes {
		return false
	}
	starts := h.startsAfter(RepeatedCrashes, func(c Crash) bool { return !c.Excused })
	if h.crashedOnProbation() {
		// No other task had just started, so crashes with other causes count towards the limit as well.
		starts = h.startsAfter(RepeatedCrashes, func(Crash) bool { return true })
	}
	return starts >= MaxStartsAfterRepeatedCrashes
}

// StartsExhausted reports whether the last crash counts, an earlier one occurred after a similar
// runtime, even if it has another cause, and the task has had all its starts since the last crash that
// callers allow for.
func (h *History) StartsExhausted() bool {
	if len(h.Crashes) == 0 {
		return false
	}
	last := h.Crashes[len(h.Crashes)-1]
	if !h.mayHaveCaused(last) || h.startsAfter(RepeatedCrashes+1, func(Crash) bool { return true }) < MaxStartsAfterRepeatedCrashes {
		return false
	}
	return slices.ContainsFunc(h.Crashes[:len(h.Crashes)-1], func(c Crash) bool {
		c.Excused = false
		return h.mayHaveCaused(c) && SimilarRuntimes(c, last)
	})
}

// crashedOnProbation reports whether a worker crashed under a run on probation.
func (h *History) crashedOnProbation() bool {
	return slices.ContainsFunc(h.Crashes, func(c Crash) bool { return c.OnProbation && c.isEvidence() })
}

// Count returns the number of crashes that count, whether or not the task may have caused them.
func (h *History) Count() int {
	n := 0
	for _, c := range h.Crashes {
		if !c.Excused {
			n++
		}
	}
	return n
}

// Similar returns the number of crashes that the task may have caused if it always crashes its
// workers after a similar runtime.
func (h *History) Similar() int {
	n := 0
	for _, c := range h.Crashes {
		if h.mayHaveCaused(c) {
			n++
		}
	}
	return max(n, len(h.inSequence()))
}

// SimilarExcept is like Similar without the given events, and includes excused crashes.
func (h *History) SimilarExcept(events map[uint64]bool) int {
	n := 0
	for _, c := range h.Crashes {
		c.Excused = false
		if !events[c.Event] && h.mayHaveCaused(c) {
			n++
		}
	}
	return n
}

// MayHaveCaused reports whether the task may have caused the crash of an event.
func (h *History) MayHaveCaused(event uint64) bool {
	for _, c := range h.Crashes {
		if c.Event == event {
			c.Excused = false
			return h.mayHaveCaused(c) || len(h.inSequence()) >= RepeatedCrashes && h.inSequence()[event]
		}
	}
	return false
}

// ProbablyCaused reports whether the task probably caused the crash of an event: at its start, or as it
// may have caused several others, apart from the given events.
func (h *History) ProbablyCaused(event uint64, except map[uint64]bool) bool {
	return h.MayHaveCaused(event) && (h.Immediate(event) || h.SimilarExcept(except) >= RepeatedCrashes)
}

// Immediate reports whether the crash of an event certainly coincided with the start of the task.
func (h *History) Immediate(event uint64) bool {
	return slices.ContainsFunc(h.Crashes, func(c Crash) bool { return c.Event == event && c.immediate() })
}

// mayHaveCaused reports whether the task may have caused a crash. It did not if another run has
// worked for longer.
func (h *History) mayHaveCaused(c Crash) bool {
	_, most := c.window()
	return c.isEvidence() && most > h.Survived
}

// isEvidence reports whether a crash may be evidence against the task: the run was certainly there.
func (c Crash) isEvidence() bool { return c.Began && !c.Excused && !c.Outlived && c.Event != 0 }

// inSequence returns the events of the last consecutive crashes after similar runtimes: there is a
// runtime after which each of the runs may have crashed its worker. A task whose crashes go on like
// that is guilty even if a run seems to have worked for longer.
func (h *History) inSequence() map[uint64]bool {
	events := map[uint64]bool{}
	low, high := time.Duration(0), MaxBlameRuntime
	for i := len(h.Crashes) - 1; i >= 0; i-- {
		c := h.Crashes[i]
		if !c.isEvidence() {
			if c.Excused || c.Event == 0 {
				continue
			}
			break
		}
		least, most := c.window()
		low, high = max(low, least), min(high, most)
		if low > high {
			break
		}
		events[c.Event] = true
	}
	return events
}

// SoleCauses returns the number of crashes that no other task can have caused.
func (h *History) SoleCauses() int {
	n := 0
	for _, c := range h.Crashes {
		if c.SoleCause && c.immediate() && h.mayHaveCaused(c) {
			n++
		}
	}
	return n
}

// startsAfter returns the number of starts since the n-th of the crashes that count.
func (h *History) startsAfter(n int, counts func(Crash) bool) uint32 {
	for _, c := range h.Crashes {
		if !counts(c) {
			continue
		}
		n--
		if n == 0 {
			return c.Starts
		}
	}
	return 0
}

// immediate reports whether the crash certainly coincided with the run's start.
func (c Crash) immediate() bool {
	return c.Began && c.MaxRuntime != UnknownRuntime && max(c.MinRuntime, c.MaxRuntime) <= ImmediateCrashMax
}

// Crash returns the crash of an event, the zero value if it is not known.
func (h *History) Crash(event uint64) Crash {
	for _, c := range h.Crashes {
		if c.Event == event {
			return c
		}
	}
	return Crash{}
}

// SimilarRuntimes reports whether two runs may have crashed their workers after the same runtime.
func SimilarRuntimes(a, b Crash) bool {
	leastA, mostA := a.window()
	leastB, mostB := b.window()
	return leastA <= mostB && leastB <= mostA
}

// window returns the range of runtimes after which a run that crashes its worker similarly may do so.
func (c Crash) window() (least, most time.Duration) {
	if c.MinRuntime > ImmediateCrashMax {
		least = c.MinRuntime - c.MinRuntime*similarityPercent/percent - similarityMargin
	}
	if c.MaxRuntime == UnknownRuntime {
		return least, MaxBlameRuntime
	}
	most = max(c.MinRuntime, c.MaxRuntime)
	return least, max(ImmediateCrashMax, most+most*similarityPercent/percent+similarityMargin)
}
