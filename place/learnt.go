package place

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// PairEstimate is what is believed about one kind of task beside one service.
type PairEstimate struct {
	Service, Kind string
	// ShareMilli is the throttle share of the tasks, 1000 when not held down.
	ShareMilli int32
	// Bucket is the load bucket; request rates of a bucket lie within a factor
	// of the square root of two.
	Bucket int
	// Slowdown is the factor on the service's p99 per task, Upper its bound at
	// one standard deviation.
	Slowdown, UpperBound float64
	Samples              int
}

// KindEstimate is what tasks of a kind were seen to need, as factors of what
// they declared; 1 when nothing is known.
type KindEstimate struct {
	Kind                        string
	Processors, Memory, RunTime float64
	Attempts                    int
}

// WorkerCondition is a worker that failures speak against.
type WorkerCondition struct {
	Worker, Condition, Reason string
}

// JobCondition is a job that failures speak against.
type JobCondition struct {
	Job           string
	FailedWorkers int
	NotBefore     time.Time
}

// ThrottledTask is a task whose processors are held down.
type ThrottledTask struct {
	Worker, Task string
	Attempt      uint64
	ShareMilli   int32
}

// Learned is a copy of what a Placer has learnt, in a fixed order.
type Learned struct {
	Pairs     []PairEstimate
	Kinds     []KindEstimate
	Workers   []WorkerCondition
	Jobs      []JobCondition
	Throttled []ThrottledTask
	// EvictionBudget is the number of evictions that may be ordered at once.
	EvictionBudget float64
}

// Learned returns what was learnt, as it stands at now.
func (p *Placer) Learned(now time.Time) Learned {
	return Learned{
		Pairs:          p.learnedPairs(now),
		Kinds:          p.learnedKinds(),
		Workers:        p.learnedWorkers(now),
		Jobs:           p.learnedJobs(now),
		Throttled:      p.throttledTasks(),
		EvictionBudget: p.budget.tokens,
	}
}

func (p *Placer) learnedPairs(now time.Time) []PairEstimate {
	var out []PairEstimate
	for key, b := range p.interference.beliefs {
		if key.kind == "" {
			continue
		}
		mean, variance := b.atTime(now, p.interference.decayTime)
		out = append(out, PairEstimate{
			Service: key.service, Kind: key.kind, ShareMilli: key.share, Bucket: key.bucket,
			Slowdown: math.Exp(mean), UpperBound: math.Exp(upperBound(mean, variance, 1)), Samples: b.samples,
		})
	}
	slices.SortFunc(out, func(a, b PairEstimate) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Kind, b.Kind),
			cmp.Compare(a.Bucket, b.Bucket), cmp.Compare(b.ShareMilli, a.ShareMilli))
	})
	return out
}

func (p *Placer) learnedKinds() []KindEstimate {
	var out []KindEstimate
	for _, name := range sortedKeys(p.usage.kinds) {
		k := p.usage.kinds[name]
		k.refresh()
		out = append(out, KindEstimate{name, k.processorFactor, k.memoryFactor, k.runFactor, len(k.processors.values)})
	}
	return out
}

func (p *Placer) learnedWorkers(now time.Time) []WorkerCondition {
	var out []WorkerCondition
	for _, name := range sortedKeys(p.health.workers) {
		w := p.health.workers[name]
		if w.condition != healthy {
			out = append(out, WorkerCondition{name, w.condition.String(), w.describe(now)})
		}
	}
	return out
}

func (p *Placer) learnedJobs(now time.Time) []JobCondition {
	var out []JobCondition
	for _, name := range sortedKeys(p.health.jobs) {
		j := p.health.jobs[name]
		if j.isPoison() {
			out = append(out, JobCondition{name, distinctCounterparts(j.failures), j.notBefore})
		}
	}
	return out
}

func (p *Placer) throttledTasks() []ThrottledTask {
	var out []ThrottledTask
	for _, name := range sortedKeys(p.workers) {
		for id, share := range p.workers[name].protection.shares {
			out = append(out, ThrottledTask{name, id.task, id.attempt, share})
		}
	}
	slices.SortFunc(out, func(a, b ThrottledTask) int {
		return cmp.Or(cmp.Compare(a.Worker, b.Worker), cmp.Compare(a.Task, b.Task))
	})
	return out
}

// Explain tells what would become of a queued task now, with every worker
// looked at. It changes nothing. The second result is false when the task is
// not queued in the snapshot.
func (p *Placer) Explain(now time.Time, s *Snapshot, task string) (Decision, bool) {
	i := slices.IndexFunc(s.Queued, func(t *Task) bool { return t.ID == task })
	if i < 0 {
		return Decision{}, false
	}
	r := p.gather(now, s)
	r.dryRun = true
	for _, hd := range p.holds {
		if h := r.hostsByName[hd.worker]; h != nil {
			h.holdCapacity(hd.size)
		}
	}
	c, d := r.newCandidate(s.Queued[i])
	if c == nil {
		return d, true
	}
	if h := r.pickHost(c, &d); h != nil {
		d.Worker = h.Name
	} else {
		d.Reason = r.refusalReason()
	}
	return d, true
}
