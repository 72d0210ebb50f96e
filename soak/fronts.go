package soak

import (
	"math/rand/v2"
	"syscall"
	"time"
)

var (
	// frontTimes are how long a control host or entry is away: around an election, and longer.
	frontTimes = []span{{100 * time.Millisecond, time.Second}, {time.Second, 4 * time.Second}, {5 * time.Second, 13 * time.Second}}
	// frontPauses are the times between two of these faults.
	frontPauses = []span{{500 * time.Millisecond, 3 * time.Second}, {4 * time.Second, 12 * time.Second}}
	// termTimes are how long after a termination a process is started again.
	termTimes = span{time.Second, 9 * time.Second}
	// outageTime is how long all control hosts are away at once.
	outageTime = span{200 * time.Millisecond, 3 * time.Second}
)

const (
	// outagePercent is how many plays lose all control hosts at once.
	outagePercent = 20
	entryPercent  = 40
)

// drawFronts draws the faults of control hosts and entries, one at a time, and of some plays the
// death of all control hosts at once before them.
func drawFronts(r *rand.Rand, of fleet, within time.Duration, p Profile) []action {
	if !p.Fronts {
		return nil
	}
	var plan []action
	at := span{0, 5 * time.Second}.draw(r)
	if r.IntN(100) < outagePercent {
		back := at + outageTime.draw(r)
		for i := range of.controls {
			plan = append(plan, action{at: at, kind: controlKind, host: i, signal: syscall.SIGKILL},
				action{at: back, kind: controlKind, host: i, starts: true})
		}
		at = back + drawOne(r, frontPauses)
	}
	for at < within {
		kind, number := controlKind, r.IntN(of.controls)
		if r.IntN(100) < entryPercent {
			kind, number = entryKind, r.IntN(of.entries)
		}
		actions := drawAway(r, action{at: at, kind: kind, host: number})
		plan = append(plan, actions...)
		at = actions[1].at + drawOne(r, frontPauses)
	}
	return plan
}

// drawAway draws how a process goes away, and when it is back.
func drawAway(r *rand.Rand, a action) []action {
	back := a
	back.at += drawOne(r, frontTimes)
	switch r.IntN(3) {
	case 0:
		a.signal, back.signal = syscall.SIGSTOP, syscall.SIGCONT
	case 1:
		a.signal, back.starts = syscall.SIGKILL, true
	default:
		a.signal, back.starts = syscall.SIGTERM, true
		back.at = a.at + termTimes.draw(r)
	}
	return []action{a, back}
}
