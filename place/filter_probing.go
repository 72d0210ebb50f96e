package place

import (
	"fmt"
	"time"
)

// Bounds of probing.
const (
	// probeDuration is how long a probe keeps others of its pair away when no report
	// settles the pair; a service without requests would block it for ever. Who
	// ran that long beside a service that is not over its objective has passed.
	probeDuration = 60 * time.Second
	// workersPerProbe is the number of workers per probe of one pair at a time.
	workersPerProbe = 100
)

// probe is where a pair that is not known yet is being tried.
type probe struct {
	running int
	// passed counts the tasks that were tried without harm. Each lets one more be
	// tried at a time: where no reports come, a kind would else start one task in
	// each probeDuration for ever.
	passed int
	racks  map[string]bool
}

// probingFilter tries an unknown pair of service and kind a few at a time, one
// to a rack, until reports tell what it does. Starting all tasks of a new kind at
// once would disturb every worker before the first late report arrives.
type probingFilter struct{}

func (probingFilter) Name() string { return "probing" }

func (f probingFilter) Allows(r *round, c *candidate, h *host) bool {
	return r.urgentOverdue(c.Task) || f.blockedService(r, c, h) == ""
}

// blockedService returns the service whose pair with the task is being tried elsewhere.
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
	return fmt.Sprintf("kind %s beside %s is being tried on another worker first", c.Kind, f.blockedService(r, c, h))
}

// probeFor counts, when first asked for a pair, the tasks that try it.
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

// objectiveExceeded reports whether a service is over its objective on a host.
func (r *round) objectiveExceeded(h *host, service string) bool {
	w := r.worstLatency(h, service)
	return w != nil && w.exceeded()
}

// recordProbe notes a task placed beside services that it is not known with.
func (r *round) recordProbe(c *candidate, h *host) {
	for _, t := range r.predictedTails(h) {
		if uncertain(r.slowdown(t.service, c.Kind, t.bucket).variance) {
			pr := r.probeFor(t.service, c.Kind)
			pr.running++
			pr.racks[h.Rack] = true
		}
	}
}
