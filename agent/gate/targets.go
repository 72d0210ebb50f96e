package gate

import (
	"cmp"
	"slices"
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

// Announcement describes a target as the target reports it, valid for TTL.
type Announcement struct {
	Name    string
	Service string
	// Address is the IP address and port at which the target serves HTTP.
	Address string
	// Slots and Connections are zero if the limits of the service apply.
	Slots       int
	Connections int
	TTL         time.Duration
}

// leaveState is whether and why a target is leaving.
type leaveState int

const (
	staying leaveState = iota
	// withdrawn: the target itself reported that it leaves.
	withdrawn
	// drained: an operator drained the target; a renewal does not end this.
	drained
)

type target struct {
	Announcement
	expiresAt  time.Time
	leaveState leaveState
	leftAt     time.Time
	inFlight   int
	waiting    []*waiter
	stats      responseStats
}

// AnnounceResult is the result of an announcement.
type AnnounceResult int

const (
	// Announced: the target was added, had expired, or has changed.
	Announced AnnounceResult = iota
	// Renewed: only the expiry changed.
	Renewed
	// RefusedLeaving: the target has withdrawn and is not removed yet.
	RefusedLeaving
	// RefusedFull: the host has MaxTargets targets already.
	RefusedFull
)

// MaxTargets bounds the number of targets of one host.
const MaxTargets = 256

// Announce adds a target or renews it.
func (g *Gate) Announce(now time.Time, a Announcement) AnnounceResult {
	t := g.targets[a.Name]
	if t == nil {
		if len(g.targets) >= MaxTargets {
			return RefusedFull
		}
		t = &target{}
		if g.drainAll {
			t.leaveState, t.leftAt = drained, now
		}
		g.targets[a.Name] = t
	}
	if t.leaveState == withdrawn {
		// A renewal sent before the withdrawal would add the target again although it is
		// about to stop, and its next requests would be lost.
		return RefusedLeaving
	}
	result := Renewed
	if t.Announcement != a || now.After(t.expiresAt) {
		result = Announced
		g.revision++
	}
	t.Announcement = a
	t.expiresAt = now.Add(a.TTL)
	g.reviewWaiting(now, t) // The number of slots or the service may have changed.
	return result
}

// Withdraw marks a target as leaving at its own request. It returns the number of its
// requests in progress, and whether the target is known.
func (g *Gate) Withdraw(now time.Time, name string) (inFlight int, known bool) {
	t := g.targets[name]
	if t == nil {
		return 0, false
	}
	g.setLeaveState(t, withdrawn, now)
	return t.inFlight, true
}

// Drain marks a target as leaving at an operator's request. An empty name drains all
// targets, including those that announce themselves later.
func (g *Gate) Drain(now time.Time, name string) (inFlight int, known bool) {
	if name == "" {
		g.drainAll = true
		for _, t := range g.targets {
			g.setLeaveState(t, drained, now)
			inFlight += t.inFlight
		}
		return inFlight, true
	}
	t := g.targets[name]
	if t == nil {
		return 0, false
	}
	g.setLeaveState(t, drained, now)
	return t.inFlight, true
}

func (g *Gate) setLeaveState(t *target, l leaveState, now time.Time) {
	if t.leaveState >= l {
		return
	}
	if t.leaveState == staying {
		t.leftAt = now
		g.revision++
	}
	t.leaveState = l
	g.reviewWaiting(now, t)
}

// Expire removes targets that have left and have nothing in progress, marks those whose
// announcement has expired as leaving, and reviews the waiting attempts. Call it several
// times per second: a longer gap is treated as a pause of the process.
func (g *Gate) Expire(now time.Time) {
	if g.expireOverdue(now) {
		g.stalledUntil = now.Add(g.limits.StallGrace)
	}
	g.lastExpireAt = now
	for name, t := range g.targets {
		if t.leaveState == staying && now.After(t.expiresAt) && t.leftAt.Before(t.expiresAt) {
			t.leftAt = now // Set once per expiry, so that the revision grows once.
			g.revision++
		}
		g.reviewWaiting(now, t)
		if g.isRemovable(t, now) {
			delete(g.targets, name)
			g.revision++
		}
	}
}

// isRemovable reports whether a leaving target can be removed. A drained target that still
// renews its announcement is kept, so that it stays drained.
func (g *Gate) isRemovable(t *target, now time.Time) bool {
	if t.inFlight > 0 || now.Sub(t.leftAt) < g.limits.DepartedTargetRetention {
		return false
	}
	switch t.leaveState {
	case withdrawn:
		return true
	case staying, drained:
		return now.Sub(t.expiresAt) >= g.limits.DepartedTargetRetention
	}
	return false
}

func (g *Gate) isLeaving(t *target, now time.Time) bool {
	return t.leaveState != staying || now.After(t.expiresAt)
}

// slots returns the smaller of the limits that the service declares and the target announced.
func (g *Gate) slots(t *target) int {
	return effectiveLimit(t.Slots, int(g.services[t.Service].GetSlots()), g.limits.DefaultSlots)
}

func (g *Gate) connections(t *target) int {
	return effectiveLimit(t.Connections, int(g.services[t.Service].GetConnections()), g.limits.DefaultConnections)
}

func effectiveLimit(announced, declared, byDefault int) int {
	switch {
	case announced > 0 && declared > 0:
		return min(announced, declared)
	case announced > 0:
		return announced
	case declared > 0:
		return declared
	}
	return byDefault
}

// load returns the target's load, including the attempts that wait: an entry that saw only
// the full slots could not tell a target with a queue from one without.
func (g *Gate) load(t *target) *apiv1.Load {
	return &apiv1.Load{
		InFlight:       int32(t.inFlight + len(t.waiting)),
		Slots:          int32(g.slots(t)),
		MeanResponseUs: t.stats.mean.Microseconds(),
	}
}

// Revision returns a number that grows with each change that must be announced to entries.
func (g *Gate) Revision() uint64 { return g.revision }

// Targets returns a description of each target, sorted by name.
func (g *Gate) Targets(now time.Time) []*apiv1.TargetInfo {
	infos := make([]*apiv1.TargetInfo, 0, len(g.targets))
	for _, t := range g.targets {
		infos = append(infos, &apiv1.TargetInfo{
			Name:        t.Name,
			Service:     t.Service,
			Slots:       int32(g.slots(t)),
			Connections: int32(g.connections(t)),
			Leaving:     g.isLeaving(t, now),
			Load:        g.load(t),
		})
	}
	slices.SortFunc(infos, func(a, b *apiv1.TargetInfo) int { return cmp.Compare(a.Name, b.Name) })
	return infos
}

// Reserved returns the resources of each target on the host, as its service declares them.
func (g *Gate) Reserved() []*apiv1.Resources {
	sizes := make([]*apiv1.Resources, 0, len(g.targets))
	for _, t := range g.targets {
		sizes = append(sizes, g.services[t.Service].GetSize())
	}
	return sizes
}

// Addresses returns the addresses of the targets.
func (g *Gate) Addresses() []string {
	addresses := make([]string, 0, len(g.targets))
	for _, t := range g.targets {
		addresses = append(addresses, t.Address)
	}
	return addresses
}
