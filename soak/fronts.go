package soak

import (
	"math/rand/v2"
	"syscall"
	"time"
)

var (
	// frontDownTimes are how long a control host or entry is away: around an election, and longer.
	frontDownTimes = []span{{100 * time.Millisecond, time.Second}, {time.Second, 4 * time.Second}, {5 * time.Second, 13 * time.Second}}
	// betweenFrontFaults are the times between two of these faults.
	betweenFrontFaults = []span{{500 * time.Millisecond, 3 * time.Second}, {4 * time.Second, 12 * time.Second}}
	// terminationTimes are how long after a termination a process is started again.
	terminationTimes = span{time.Second, 9 * time.Second}
	// controlOutageTimes is how long all control hosts are away at once.
	controlOutageTimes = span{200 * time.Millisecond, 3 * time.Second}
)

const (
	// controlOutagePercent is how many plays lose all control hosts at once.
	controlOutagePercent = 20
	entryFaultPercent    = 40
)

// drawFrontFaults draws the faults of control hosts and entries, one at a time, and of some plays the
// death of all control hosts at once before them.
func drawFrontFaults(r *rand.Rand, of fleet, within time.Duration, p Profile) []action {
	if !p.Fronts {
		return nil
	}
	var plan []action
	at := span{0, 5 * time.Second}.draw(r)
	if r.IntN(100) < controlOutagePercent {
		back := at + controlOutageTimes.draw(r)
		for i := range of.controls {
			plan = append(plan, action{at: at, kind: controlKind, host: i, signal: syscall.SIGKILL},
				action{at: back, kind: controlKind, host: i, starts: true})
		}
		at = back + drawFromOne(r, betweenFrontFaults)
	}
	for at < within {
		kind, number := controlKind, r.IntN(of.controls)
		if r.IntN(100) < entryFaultPercent {
			kind, number = entryKind, r.IntN(of.entries)
		}
		actions := drawDowntime(r, action{at: at, kind: kind, host: number})
		plan = append(plan, actions...)
		at = actions[1].at + drawFromOne(r, betweenFrontFaults)
	}
	return plan
}

// drawDowntime draws how a process goes away, and when it is back.
func drawDowntime(r *rand.Rand, a action) []action {
	back := a
	back.at += drawFromOne(r, frontDownTimes)
	switch r.IntN(3) {
	case 0:
		a.signal, back.signal = syscall.SIGSTOP, syscall.SIGCONT
	case 1:
		a.signal, back.starts = syscall.SIGKILL, true
	default:
		a.signal, back.starts = syscall.SIGTERM, true
		back.at = a.at + terminationTimes.draw(r)
	}
	return []action{a, back}
}
