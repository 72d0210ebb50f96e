package route

import (
	"slices"
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

// Target is a back end instance as its agent announces it.
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

// The tiers of targets, nearest first.
const (
	tierZone = iota
	tierRegion
	tierRemote
	tierCount
)

const (
	// targetResponseTimeWeight is the weight of one answer in a target's mean response time.
	targetResponseTimeWeight = 0.1
	minSlowness              = 0.7
	maxSlowness              = 5.0
)

// tier holds the eligible targets at one distance. slots and load are sums.
type tier struct {
	targets []*target
	slots   float64
	load    float64
}

// utilization is the tier's load per slot.
func (t *tier) utilization() float64 {
	if t.slots <= 0 {
		return 1
	}
	return t.load / t.slots
}

// target is what the router knows of a Target.
type target struct {
	Target
	svc       *service
	tier      int
	tierIndex int // in the tier's list, -1 when not eligible
	addedAt   time.Time
	inSubset  bool // in this entry's subset

	// ownInFlight counts this entry's attempts in flight; others estimates the rest from
	// load reports.
	ownInFlight     int
	otherInFlight   float64
	otherInFlightAt time.Time
	// meanResponseTime is the moving average of the target's response time.
	meanResponseTime time.Duration

	health health
}

// load is the number of requests believed to be at the target.
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

// slowness is the target's response time relative to the service's, within
// bounds. Without it a slow target gets its even share of requests until its
// slots fill up.
func (t *target) slowness() float64 {
	all := t.svc.latency.meanResponseTime
	if t.meanResponseTime == 0 || all == 0 {
		return 1
	}
	return min(maxSlowness, max(minSlowness, float64(t.meanResponseTime)/float64(all)))
}

// applyLoadReport takes in the load that rides on an answer.
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

// expireLoadReport forgets a load report that is too old to say anything. Without it a target
// that was once reported full and gets no work from here would stay full forever.
func (t *target) expireLoadReport(now time.Time) {
	if t.otherInFlight > 0 && now.Sub(t.otherInFlightAt) > t.svc.cfg.LoadAge {
		t.setOtherInFlight(now, 0)
	}
}

// Upsert adds a target or takes in its new announcement. A new incarnation of
// its agent starts with a clean record. The wakes are queued requests that now fit.
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
	// Another incarnation starts afresh, whichever number is the higher: a host's
	// clock may have been set back. The directory says which is the newer.
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

// Remove forgets a target. Its open attempts may still be settled. The wakes are
// queued requests that can no longer be served.
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

// SetLeaving stops new work for a target until its next announcement.
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

// markLeaving takes a target out. An ejected one counts no longer: it would use up the
// cap on ejections and leave the others without a way back.
func (s *service) markLeaving(now time.Time, t *target) {
	t.Leaving = true
	s.clearEjection(t)
	s.updateEligibility(t)
	s.targetsChanged(now)
}

func (s *service) dropTarget(t *target) {
	delete(s.targets, t.ID)
	s.unlist(t)
	s.unlistFromAgent(t)
	s.clearEjection(t)
	t.inSubset = false
}

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

// updateEligibility puts a target into its tier's list if it is eligible and takes it out
// if it is not.
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

// unlist takes a target out of its tier's list.
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

// targetsChanged follows a change of the eligible targets.
func (s *service) targetsChanged(now time.Time) {
	s.enforceEjectionCap(now)
	if s.eligible() > 0 {
		s.emptySince = time.Time{}
	} else if s.emptySince.IsZero() {
		s.emptySince = now
	}
	s.limit.setBounds(s.slots(), s.sharingEntries())
}

// eligible is the number of targets that may get work.
func (s *service) eligible() int {
	n := 0
	for i := range s.tiers {
		n += len(s.tiers[i].targets)
	}
	return n
}

// slots sums the slots of the targets that requests go to: other regions count
// only when this one has none.
func (s *service) slots() float64 {
	n := s.tiers[tierZone].slots + s.tiers[tierRegion].slots
	if n > 0 {
		return n
	}
	return s.tiers[tierRemote].slots
}
