package place

import (
	"slices"
	"time"
)

// samples is a bounded ring of the newest values.
type samples struct {
	values []float64
	next   int
}

const (
	sampleLimit = 64
	// minSamples is how many ended or long-running attempts a kind needs before
	// what it was seen to use counts.
	minSamples = 4
	// sizeQuantile is the part of attempts that must fit a grant.
	sizeQuantile = 0.9
	// sizeMargin is added to the quantile.
	sizeMargin = 1.05
)

func (s *samples) add(v float64) {
	if len(s.values) < sampleLimit {
		s.values = append(s.values, v)
		return
	}
	s.values[s.next] = v
	s.next = (s.next + 1) % sampleLimit
}

// quantile returns the value below which a part q of the samples lies.
func (s *samples) quantile(q float64) (float64, bool) {
	if len(s.values) < minSamples {
		return 0, false
	}
	sorted := slices.Clone(s.values)
	slices.Sort(sorted)
	return sorted[int(q*float64(len(sorted)-1)+0.5)], true
}

// kindUsage is what tasks of one kind were seen to use and how long they ran,
// as factors of what was declared.
type kindUsage struct {
	processors, memory, runTime samples
	// minProcessorFactor is the smallest factor of a grant's processors.
	minProcessorFactor float64
	// Quantiles are kept until the samples change: they are read per decision.
	cached                        bool
	processorFactor, memoryFactor float64
	runFactor                     float64
}

func (k *kindUsage) refresh() {
	if k.cached {
		return
	}
	k.cached = true
	k.processorFactor = grantFactor(&k.processors, k.minProcessorFactor)
	k.memoryFactor = grantFactor(&k.memory, 1)
	k.runFactor = 1
	if q, ok := k.runTime.quantile(0.5); ok {
		k.runFactor = q
	}
}

// grantFactor is the factor of a grant on the declared size, at least least.
func grantFactor(s *samples, least float64) float64 {
	q, ok := s.quantile(sizeQuantile)
	if !ok {
		return 1
	}
	return max(least, q*sizeMargin)
}

// attemptUsage is the peak use of one running attempt.
type attemptUsage struct {
	peak   Resources
	latest Resources
	// counted: the peak has entered the kind's samples.
	counted bool
	since   time.Time
}

// usage learns sizes and run times per kind.
type usage struct {
	kinds    map[string]*kindUsage
	attempts map[attemptID]*attemptUsage
	// minProcessorFactor is below 1 when processors that a kind does not use are
	// left to others. Memory is never granted below what was declared: a task
	// that comes to need it would be killed.
	minProcessorFactor float64
}

func newUsage(leastProcessors float64) *usage {
	return &usage{
		kinds:              make(map[string]*kindUsage),
		attempts:           make(map[attemptID]*attemptUsage),
		minProcessorFactor: leastProcessors,
	}
}

func (u *usage) kind(name string) *kindUsage {
	k := u.kinds[name]
	if k == nil {
		k = &kindUsage{minProcessorFactor: u.minProcessorFactor}
		u.kinds[name] = k
	}
	return k
}

// minObservedTime is how long an attempt runs before its peak counts although it
// has not ended: long-running watchers would teach nothing otherwise.
const minObservedTime = 60 * time.Second

// recordUsage takes in what an attempt was seen to use.
func (u *usage) recordUsage(now time.Time, id attemptID, info *taskInfo, used Resources) {
	a := u.attempts[id]
	if a == nil {
		a = &attemptUsage{since: now}
		u.attempts[id] = a
	}
	a.latest = used
	a.peak.MilliProcessors = max(a.peak.MilliProcessors, used.MilliProcessors)
	a.peak.MemoryBytes = max(a.peak.MemoryBytes, used.MemoryBytes)
	if !a.counted && now.Sub(a.since) >= minObservedTime {
		u.addSamples(a, info)
	}
}

// recordEnd closes an attempt; its peak counts if it says anything.
func (u *usage) recordEnd(id attemptID, info *taskInfo) {
	a := u.attempts[id]
	if a == nil {
		return
	}
	if !a.counted && info != nil {
		u.addSamples(a, info)
	}
	delete(u.attempts, id)
}

func (u *usage) addSamples(a *attemptUsage, info *taskInfo) {
	a.counted = true
	k := u.kind(info.kind)
	if info.declared.MilliProcessors > 0 {
		k.processors.add(ratio(a.peak.MilliProcessors, info.declared.MilliProcessors))
	}
	if info.declared.MemoryBytes > 0 {
		k.memory.add(ratio(a.peak.MemoryBytes, info.declared.MemoryBytes))
	}
	k.cached = false
}

// recordRunTime notes how long a whole, uninterrupted run took.
func (u *usage) recordRunTime(info *taskInfo, took time.Duration) {
	if info.expectedRun <= 0 || took <= 0 {
		return
	}
	k := u.kind(info.kind)
	k.runTime.add(float64(took) / float64(info.expectedRun))
	k.cached = false
}

// size returns what a task of a kind is to be granted for a declared size.
func (u *usage) size(kind string, declared Resources) Resources {
	k := u.kinds[kind]
	if k == nil {
		return declared
	}
	k.refresh()
	return declared.scale(k.processorFactor, k.memoryFactor)
}

// runTime returns how long a task of a kind is expected to run.
func (u *usage) runTime(kind string, declared time.Duration) time.Duration {
	k := u.kinds[kind]
	if k == nil {
		return declared
	}
	k.refresh()
	return time.Duration(float64(declared) * k.runFactor)
}
