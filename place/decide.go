package place

import "fmt"

// decide takes one queued task through the stages feasible, filter, score and
// reserve.
func (r *round) decide(t *Task) Decision {
	c, d := r.newCandidate(t)
	if c == nil {
		return d
	}
	key := taskClass{t.Kind, t.Team, t.Priority, c.size, r.starved(t)}
	if known := r.refusedClasses[key]; known != nil && r.p.holds[t.ID] == nil {
		d.Reason, d.Rejections, d.Refused = known.Reason, known.Rejections, known.Refused
		return d
	}
	h := r.pickHost(c, &d)
	if h == nil {
		r.keepQueued(c, key, &d)
		return d
	}
	r.reserve(c, h)
	d.Worker = h.Name
	d.Reason = fmt.Sprintf("best of %d candidates", d.Candidates)
	return d
}

// newCandidate takes a task through the task filters; nil when one refuses it.
func (r *round) newCandidate(t *Task) (*candidate, Decision) {
	d := Decision{Task: t.ID, Attempt: t.Attempt + 1}
	c := &candidate{Task: t, size: r.grantSize(t)}
	if st := r.checkTask(c); !st.Passed() {
		d.Reason = st.Filter + ": " + st.Reason
		return nil, d
	}
	c.hasOtherWorker = len(t.FailedWorkers) > 0 && r.hasOtherWorker(c)
	return c, d
}

// keepQueued keeps a task queued, and tries to get room for it.
func (r *round) keepQueued(c *candidate, key taskClass, d *Decision) {
	d.Reason = r.refusalReason()
	if reason := r.reclaimCapacity(c); reason != "" {
		d.Reason = reason
		return
	}
	if len(c.FailedWorkers) == 0 && r.p.holds[c.ID] == nil {
		r.refusedClasses[key] = d
	}
}

func (r *round) refusalReason() string {
	return fmt.Sprintf("no worker of %d can take it now", len(r.hosts))
}

// grantSize is what a task is to be granted: what its kind was learnt to need,
// never less than declared, and no more than some worker and its team's quota hold.
func (r *round) grantSize(t *Task) Resources {
	want := r.p.usage.size(t.Kind, t.Size)
	if want == t.Size {
		return want
	}
	halfway := t.Size.midpoint(want)
	// Memory that is short kills the task, processors only slow it down: when
	// both can't grow, memory does.
	memory, halfMemory := t.Size, t.Size
	memory.MemoryBytes, halfMemory.MemoryBytes = want.MemoryBytes, halfway.MemoryBytes
	for _, size := range [...]Resources{want, halfway, memory, halfMemory} {
		team := r.snapshot.Teams[t.Team]
		if r.fitsSomeWorker(size) && (team == nil || size.withinLimit(team.Quota)) {
			return size
		}
	}
	return t.Size
}

// pickHost returns the best worker for a task, nil when every one is refused. It
// starts at a random worker and stops after SampleSize candidates.
func (r *round) pickHost(c *candidate, d *Decision) *host {
	n, start := len(r.hosts), 0
	if !r.dryRun {
		start = r.p.rand.Intn(n)
	}
	var best *host
	for i := range n {
		h := r.hosts[(start+i)%n]
		if f := r.refusingFilter(c, h); f != nil {
			r.recordRejection(c, d, h, f)
			continue
		}
		d.Candidates++
		if score := r.score(c, h); best == nil || score > d.Score {
			best, d.Score = h, score
		}
		if d.Candidates >= r.p.cfg.SampleSize && !r.dryRun {
			break
		}
	}
	return best
}

func (r *round) recordRejection(c *candidate, d *Decision, h *host, f hostFilter) {
	if d.Refused == nil {
		d.Refused = make(map[string]int)
	}
	d.Refused[f.Name()]++
	if len(d.Rejections) < r.p.cfg.MaxRejections {
		d.Rejections = append(d.Rejections, Rejection{h.Name, f.Name(), f.Explain(r, c, h)})
	}
}
