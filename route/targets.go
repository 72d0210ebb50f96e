package route

import (
	"slices"
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

// Target is one back end instance as announced by its agent.
type Target struct {
	ID      string
	Service string
	Agent   string
	// Address is the agent's IP and port.
	Address          string
	AgentIncarnation uint64
	AvailabilityZone string
	Region           string
	Slots            int
	Connections      int
	Leaving          bool
}

// The tiers of targets, from the nearest to the farthest.
const (
	tierZone = iota
	tierRegion
	tierRemote
	tierCount
)

const (
	// targetResponseTimeWeight is the weight of one answer in the moving average of a target's
	// response time.
	targetResponseTimeWeight = 0.1
	minSlowness              = 0.7
	maxSlowness              = 5.0
)

// tier contains the eligible targets of one distance. slots and load are the sums over them.
type tier struct {
	targets []*target
	slots   float64
	load    float64
}

// utilization returns the load of the tier per slot.
func (t *tier) utilization() float64 {
	if t.slots <= 0 {
		return 1
	}
	return t.load / t.slots
}

// target is the state of one Target.
type target struct {
	Target
	svc       *service
	tier      int
	tierIndex int // in the tier's targets; -1 if not eligible
	addedAt   time.Time
	inSubset  bool // in this entry's subset

	// ownInFlight counts this entry's attempts in flight. otherInFlight is an estimate of all other
	// attempts, from load reports.
	ownInFlight     int
	otherInFlight   float64
	otherInFlightAt time.Time
	// meanResponseTime is the moving average of the target's response time.
	meanResponseTime time.Duration

	health health
}

// load returns the estimated number of requests in flight at the target.
func (t *target) load() float64 { return float64(t.ownInFlight) + t.otherInFlight }

func (t *target) full() bool {
	return t.load() >= float64(t.Slots) || (t.Connections > 0 && t.ownInFlight >= t.Connections)
}

func (t *target) addOwnInFlight(d int) {
	t.ownInFlight += d
	if t.tierIndex >= 0 {
		t.svc.tiers[t.tier].load += float64(d)
	}
}

func (t *target) setOtherInFlight(now time.Time, v float64) {
	if t.tierIndex >= 0 {
		t.svc.tiers[t.tier].load += v - t.otherInFlight
	}
	t.otherInFlight = v
	t.otherInFlightAt = now
}

// slowness returns the target's response time relative to that of the service, between minSlowness
// and maxSlowness. Without this factor, a slow target gets an even share of the requests until its
// slots are full.
func (t *target) slowness() float64 {
	all := t.svc.latency.meanResponseTime
	if t.meanResponseTime == 0 || all == 0 {
		return 1
	}
	return min(maxSlowness, max(minSlowness, float64(t.meanResponseTime)/float64(all)))
}

// applyLoadReport records the load report in an answer.
func (t *target) applyLoadReport(now time.Time, l *apiv1.Load) {
	if l == nil {
		return
	}
	if n := int(l.GetSlots()); n > 0 && n != t.Slots {
		t.svc.unlist(t)
		t.Slots = n
		t.svc.updateEligibility(t)
	}
	t.setOtherInFlight(now, max(0, float64(int(l.GetInFlight())-t.ownInFlight)))
}

// expireLoadReport discards a load report that is older than LoadAge. Otherwise, a target that was
// once reported full and gets no requests from this entry would count as full forever.
func (t *target) expireLoadReport(now time.Time) {
	if t.otherInFlight > 0 && now.Sub(t.otherInFlightAt) > t.svc.cfg.LoadAge {
		t.setOtherInFlight(now, 0)
	}
}

// Upsert adds a target or applies its new announcement. A new incarnation of its agent starts with
// a new health record. The wakes are for queued requests that can start now.
func (r *Router) Upsert(now time.Time, tgt Target) []Wake {
	r.mu.Lock()
	defer r.mu.Unlock()
	var wakes []Wake
	if old := r.serviceByTarget[tgt.ID]; old != nil && old.name != tgt.Service {
		wakes = r.remove(now, tgt.ID)
	}
	s := r.ensureService(tgt.Service)
	r.serviceByTarget[tgt.ID] = s
	s.mu.Lock()
	defer s.mu.Unlock()
	s.upsert(now, tgt)
	return append(wakes, s.startQueued(now)...)
}

func (s *service) upsert(now time.Time, tgt Target) {
	t := s.targets[tgt.ID]
	// A different incarnation replaces the target, whichever number is higher: a host's clock may
	// have been set back. The directory decides which incarnation is newer.
	if t != nil && t.AgentIncarnation != tgt.AgentIncarnation {
		s.dropTarget(t)
		t = nil
	}
	if t == nil {
		t = &target{svc: s, tierIndex: -1, addedAt: now}
		s.targets[tgt.ID] = t
	}
	s.unlist(t)
	s.unlistFromAgent(t)
	t.Target = tgt
	s.byAgent[t.Agent] = append(s.byAgent[t.Agent], t)
	t.Slots = max(1, tgt.Slots)
	t.tier = s.tierOf(tgt)
	s.updateSubset(t)
	if t.Leaving {
		s.clearEjection(t)
	}
	s.updateEligibility(t)
	s.targetsChanged(now)
}

func (s *service) tierOf(t Target) int {
	if t.Region != s.cfg.Region {
		return tierRemote
	}
	if t.AvailabilityZone != s.cfg.AvailabilityZone {
		return tierRegion
	}
	return tierZone
}

// Remove removes a target. The outcomes of its open attempts may still be recorded. The wakes are
// for queued requests that can no longer be served.
func (r *Router) Remove(now time.Time, id string) []Wake {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.remove(now, id)
}

func (r *Router) remove(now time.Time, id string) []Wake {
	s := r.serviceByTarget[id]
	if s == nil {
		return nil
	}
	delete(r.serviceByTarget, id)
	s.mu.Lock()
	defer s.mu.Unlock()
	if t := s.targets[id]; t != nil {
		s.dropTarget(t)
	}
	s.targetsChanged(now)
	wakes := s.startQueued(now)
	r.removeIfUnused(s)
	return wakes
}

// SetLeaving stops sending new requests to a target until its next announcement.
func (r *Router) SetLeaving(now time.Time, id string) {
	r.mu.Lock()
	s := r.serviceByTarget[id]
	r.mu.Unlock()
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if t := s.targets[id]; t != nil {
		s.markLeaving(now, t)
	}
}

// markLeaving makes a target ineligible that is leaving. If it was ejected, it no longer counts as
// ejected: it would use up the limit on ejections and keep the other ejected targets from being
// readmitted.
func (s *service) markLeaving(now time.Time, t *target) {
	t.Leaving = true
	s.clearEjection(t)
	s.updateEligibility(t)
	s.targetsChanged(now)
}

// dropTarget removes a target from all lists of the service.
func (s *service) dropTarget(t *target) {
	delete(s.targets, t.ID)
	s.unlist(t)
	s.unlistFromAgent(t)
	s.clearEjection(t)
	t.inSubset = false
}

// unlistFromAgent removes a target from the targets of its agent.
func (s *service) unlistFromAgent(t *target) {
	list := s.byAgent[t.Agent]
	if i := slices.Index(list, t); i >= 0 {
		list = slices.Delete(list, i, i+1)
	}
	if len(list) == 0 {
		delete(s.byAgent, t.Agent)
		return
	}
	s.byAgent[t.Agent] = list
}

// updateEligibility adds a target to its tier if it is eligible, and removes it if it is not.
func (s *service) updateEligibility(t *target) {
	if !t.inSubset || t.Leaving || t.health.ejected {
		s.unlist(t)
		return
	}
	if t.tierIndex >= 0 {
		return
	}
	tr := &s.tiers[t.tier]
	t.tierIndex = len(tr.targets)
	tr.targets = append(tr.targets, t)
	tr.slots += float64(t.Slots)
	tr.load += t.load()
}

// unlist removes a target from its tier.
func (s *service) unlist(t *target) {
	if t.tierIndex < 0 {
		return
	}
	tr := &s.tiers[t.tier]
	last := len(tr.targets) - 1
	tr.targets[t.tierIndex] = tr.targets[last]
	tr.targets[t.tierIndex].tierIndex = t.tierIndex
	tr.targets[last] = nil
	tr.targets = tr.targets[:last]
	tr.slots -= float64(t.Slots)
	tr.load -= t.load()
	t.tierIndex = -1
}

// targetsChanged adjusts the ejections, emptySince and the concurrency limit after a change of the
// eligible targets.
func (s *service) targetsChanged(now time.Time) {
	s.enforceEjectionCap(now)
	if s.eligible() > 0 {
		s.emptySince = time.Time{}
	} else if s.emptySince.IsZero() {
		s.emptySince = now
	}
	s.limit.setBounds(s.slots(), s.sharingEntries())
}

// eligible returns the number of targets that may get requests.
func (s *service) eligible() int {
	n := 0
	for i := range s.tiers {
		n += len(s.tiers[i].targets)
	}
	return n
}

// slots returns the sum of the slots of the targets that requests are sent to. Other regions count
// only if this one has no targets.
func (s *service) slots() float64 {
	n := s.tiers[tierZone].slots + s.tiers[tierRegion].slots
	if n > 0 {
		return n
	}
	return s.tiers[tierRemote].slots
}
