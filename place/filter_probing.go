package place

import (
	"fmt"
	"time"
)

// Limits of probing.
const (
	// probeDuration is how long after its grant a probing task blocks others of its pair while no
	// report makes the pair certain. Without this limit a service without requests would block the
	// pair indefinitely. A task that ran this long beside a service that does not exceed its
	// objective counts as passed.
	probeDuration = 60 * time.Second
	// workersPerProbe is the number of workers per concurrent probe of a pair.
	workersPerProbe = 100
)

// probe counts the tasks that probe a pair of service and kind whose interference is uncertain.
type probe struct {
	running int
	// passed counts the tasks that ran for probeDuration without harm. Each of them allows one
	// more concurrent probe. Otherwise a kind would start only one task per probeDuration where no
	// reports arrive.
	passed int
	racks  map[string]bool
}

// probingFilter limits an uncertain pair of service and kind to a few probing tasks, one per rack,
// until reports show its interference. If all tasks of a new kind started at once, they would slow
// services down on every worker before the first delayed report arrives.
type probingFilter struct{}

func (probingFilter) Name() string { return "probing" }

func (f probingFilter) Allows(r *round, c *candidate, h *host) bool {
	return r.urgentOverdue(c.Task) || f.blockedService(r, c, h) == ""
}

// blockedService returns a service whose pair with the task is already being probed on other
// workers, "" if there is none.
func (probingFilter) blockedService(r *round, c *candidate, h *host) string {
	for _, t := range r.predictedTails(h) {
		if t.objective == 0 || !uncertain(r.slowdown(t.service, c.Kind, t.bucket).variance) {
			continue
		}
		pr := r.probeFor(t.service, c.Kind)
		if pr.running > len(r.hosts)/workersPerProbe+pr.passed || pr.racks[h.Rack] {
			return t.service
		}
	}
	return ""
}

func (f probingFilter) Explain(r *round, c *candidate, h *host) string {
	return fmt.Sprintf("kind %s beside %s is being probed on another worker first", c.Kind, f.blockedService(r, c, h))
}

// probeFor returns the probe of a pair, counting its tasks at the first call of a round.
func (r *round) probeFor(service, kind string) *probe {
	key := interferenceKey{service: service, kind: kind}
	if pr := r.probes[key]; pr != nil {
		return pr
	}
	pr := &probe{racks: make(map[string]bool)}
	r.probes[key] = pr
	for _, h := range r.hostsByKind[kind] {
		if !h.serves(service) {
			continue
		}
		for _, t := range h.Running {
			if t.Kind != kind {
				continue
			}
			if r.now.Sub(t.GrantedAt) < probeDuration {
				pr.running++
				pr.racks[h.Rack] = true
				continue
			}
			if !r.objectiveExceeded(h, service) {
				pr.passed++
			}
		}
	}
	return pr
}

// objectiveExceeded reports whether a service exceeds its objective on a host.
func (r *round) objectiveExceeded(h *host, service string) bool {
	w := r.worstLatency(h, service)
	return w != nil && w.exceeded()
}

// recordProbe records a task placed beside services with which its interference is uncertain.
func (r *round) recordProbe(c *candidate, h *host) {
	for _, t := range r.predictedTails(h) {
		if uncertain(r.slowdown(t.service, c.Kind, t.bucket).variance) {
			pr := r.probeFor(t.service, c.Kind)
			pr.running++
			pr.racks[h.Rack] = true
		}
	}
}
