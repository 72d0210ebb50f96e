package gate

import (
	"cmp"
	"slices"
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

// Announcement is what a target says about itself, valid for TTL.
type Announcement struct {
	Name    string
	Service string
	// Address is the IP and port that the target answers HTTP on.
	Address string
	// Slots and Connections are zero when the target leaves them to its service.
	Slots       int
	Connections int
	TTL         time.Duration
}

// leaveState says why a target is leaving.
type leaveState int

const (
	staying leaveState = iota
	// withdrawn: the target said that it leaves.
	withdrawn
	// drained: an operator made it leave; renewals don't bring it back.
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

// AnnounceResult is what became of an announcement.
type AnnounceResult int

const (
	// Announced: the target is known now, or something about it changed.
	Announced AnnounceResult = iota
	// Renewed: nothing changed but the time it is valid for.
	Renewed
	// RefusedLeaving: the target said a moment ago that it leaves.
	RefusedLeaving
	// RefusedFull: the host has too many targets.
	RefusedFull
)

// MaxTargets bounds the targets of one host.
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
		// A renewal that crossed the withdrawal would bring back a target that is
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
	g.reviewWaiting(now, t) // There may be more slots, or another service.
	return result
}

// Withdraw makes a target leave because it says so. It returns the requests in
// progress, and whether the target was known.
func (g *Gate) Withdraw(now time.Time, name string) (inFlight int, known bool) {
	t := g.targets[name]
	if t == nil {
		return 0, false
	}
	g.setLeaveState(t, withdrawn, now)
	return t.inFlight, true
}

// Drain makes a target leave on an operator's word; an empty name means all
// targets, also those that will announce themselves.
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

// Expire removes targets that have left with nothing in progress, and notes those
// whose announcement ran out. What waits is looked at again. Call it several times
// per second: a gap is taken as a sign that the process stood still.
func (g *Gate) Expire(now time.Time) {
	if g.expireOverdue(now) {
		g.stalledUntil = now.Add(g.limits.StallGrace)
	}
	g.lastExpireAt = now
	for name, t := range g.targets {
		if t.leaveState == staying && now.After(t.expiresAt) && t.leftAt.Before(t.expiresAt) {
			t.leftAt = now // The revision below tells the entries once.
			g.revision++
		}
		g.reviewWaiting(now, t)
		if g.isRemovable(t, now) {
			delete(g.targets, name)
			g.revision++
		}
	}
}

// isRemovable reports whether a leaving target can be forgotten. A drained one that still
// renews stays known, so that it stays drained.
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

// slots is the smaller of what the service grants and what the target announced.
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

// load counts what waits too: an entry that sees only the full slots would take one
// target with a queue for as good as another without.
func (g *Gate) load(t *target) *apiv1.Load {
	return &apiv1.Load{
		InFlight:       int32(t.inFlight + len(t.waiting)),
		Slots:          int32(g.slots(t)),
		MeanResponseUs: t.stats.mean.Microseconds(),
	}
}

// Revision grows with each change that entries have to hear of.
func (g *Gate) Revision() uint64 { return g.revision }

// Targets describes the targets, sorted by name.
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

// Reserved returns the size of each target on the host, as its service declares it.
func (g *Gate) Reserved() []*apiv1.Resources {
	sizes := make([]*apiv1.Resources, 0, len(g.targets))
	for _, t := range g.targets {
		sizes = append(sizes, g.services[t.Service].GetSize())
	}
	return sizes
}

// Addresses returns where the targets are.
func (g *Gate) Addresses() []string {
	addresses := make([]string, 0, len(g.targets))
	for _, t := range g.targets {
		addresses = append(addresses, t.Address)
	}
	return addresses
}
