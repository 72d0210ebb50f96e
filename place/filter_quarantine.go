package place

// quarantineFilter keeps tasks off workers that failed distinct jobs, and gives
// workers on probation one task at a time.
type quarantineFilter struct{}

func (quarantineFilter) Name() string { return "quarantine" }

func (quarantineFilter) Allows(r *round, _ *candidate, h *host) bool {
	if h.health == nil || h.health.condition == healthy {
		return true
	}
	if h.health.condition == quarantined {
		return false
	}
	return h.grantedOnProbation() == 0
}

func (quarantineFilter) Explain(r *round, _ *candidate, h *host) string {
	return h.health.describe(r.now)
}

// grantedOnProbation counts the tasks granted since the quarantine ended. Those
// from before it are long running; they do not hold the trial up.
func (h *host) grantedOnProbation() int {
	n := h.granted
	for _, t := range h.Running {
		if !t.GrantedAt.Before(h.health.until) {
			n++
		}
	}
	return n
}
