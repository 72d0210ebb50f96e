package place

// scorer rates a worker that passed every filter, from 0 (worst) to 1.
type scorer interface {
	Name() string
	// Weight is what the scorer counts under a policy.
	Weight(w weights) float64
	Score(r *round, c *candidate, h *host) float64
}

// score is the weighted mean of the scorers.
func (r *round) score(c *candidate, h *host) float64 {
	sum := 0.0
	for i, s := range r.p.scorers {
		if w := r.scoreWeights[i]; w > 0 {
			sum += w * s.Score(r, c, h)
		}
	}
	return sum
}

// spreadScore spreads a job's tasks over workers, racks and zones, so that one
// loss takes few of them.
type spreadScore struct{}

func (spreadScore) Name() string { return "spread" }

func (spreadScore) Weight(weights) float64 { return 0.6 }

func (spreadScore) Score(r *round, c *candidate, h *host) float64 {
	const hostWeight, rackWeight, zoneWeight = 1.0, 0.7, 0.3
	near := hostWeight*float64(r.tasksPerDomain[jobDomain{c.Job, hostDomain, h.Name}]) +
		rackWeight*float64(r.tasksPerDomain[jobDomain{c.Job, rackDomain, h.Rack}]) +
		zoneWeight*float64(r.tasksPerDomain[jobDomain{c.Job, zoneDomain, h.AvailabilityZone}])
	return 1 / (1 + near)
}

// interferenceScore prefers workers whose services the task disturbs least, by
// the upper confidence bound, and among those the ones with the most headroom.
type interferenceScore struct{}

func (interferenceScore) Name() string { return "interference" }

func (interferenceScore) Weight(w weights) float64 { return 2 + 4*w.tail }

func (interferenceScore) Score(r *round, c *candidate, h *host) float64 {
	worst := 1.0
	for _, t := range r.predictedTails(h) {
		ms, added := r.predictWithTask(t, c.Kind)
		s := 1 / (1 + 4*added)
		if t.objective > 0 && t.measured {
			headroom := 1 - min(ms/t.objective, 1)
			s = 0.8*s + 0.2*headroom
		}
		worst = min(worst, s)
	}
	return worst
}

// fitScore fills workers that are full already, which leaves big holes for big
// tasks, and keeps accelerators for tasks that need them.
type fitScore struct{}

func (fitScore) Name() string { return "fit" }

func (fitScore) Weight(w weights) float64 { return 0.3 + w.batch }

func (fitScore) Score(_ *round, c *candidate, h *host) float64 {
	left := h.free.Sub(c.size)
	full := 1 - left.dominantShare(h.allocatable)
	if c.size.Accelerators > 0 || h.allocatable.Accelerators == 0 {
		return full
	}
	const spared = 0.5
	return full * (1 - spared*ratio(left.Accelerators, h.allocatable.Accelerators))
}
