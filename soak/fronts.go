package soak

import (
	"math/rand/v2"
	"syscall"
	"time"
)

var (
	// frontDownTimes are how long a control host or entry is down: about as long as an election, and longer.
	frontDownTimes = []span{{100 * time.Millisecond, time.Second}, {time.Second, 4 * time.Second}, {5 * time.Second, 13 * time.Second}}
	// betweenFrontFaults are the times from the end of one such fault to the start of the next.
	betweenFrontFaults = []span{{500 * time.Millisecond, 3 * time.Second}, {4 * time.Second, 12 * time.Second}}
	// terminationTimes are the times from SIGTERM until a process is started again.
	terminationTimes = span{time.Second, 9 * time.Second}
	// controlOutageTimes are how long all control hosts are down at once.
	controlOutageTimes = span{200 * time.Millisecond, 3 * time.Second}
)

const (
	// controlOutagePercent is the percentage of soak runs in which all control hosts are killed at once.
	controlOutagePercent = 20
	// entryFaultPercent is the percentage of faults that affect an entry rather than a control host.
	entryFaultPercent = 40
)

// drawFrontFaults draws faults of control hosts and entries, one at a time. In some soak runs all control
// hosts are killed at once before them.
func drawFrontFaults(r *rand.Rand, size fleet, within time.Duration, p Profile) []action {
	if !p.Fronts {
		return nil
	}
	var plan []action
	at := span{0, 5 * time.Second}.draw(r)
	if r.IntN(100) < controlOutagePercent {
		restartAt := at + controlOutageTimes.draw(r)
		for i := range size.controls {
			plan = append(plan, action{at: at, kind: controlKind, host: i, signal: syscall.SIGKILL},
				action{at: restartAt, kind: controlKind, host: i, starts: true})
		}
		at = restartAt + drawFromOne(r, betweenFrontFaults)
	}
	for at < within {
		kind, number := controlKind, r.IntN(size.controls)
		if r.IntN(100) < entryFaultPercent {
			kind, number = entryKind, r.IntN(size.entries)
		}
		actions := drawDowntime(r, action{at: at, kind: kind, host: number})
		plan = append(plan, actions...)
		at = actions[1].at + drawFromOne(r, betweenFrontFaults)
	}
	return plan
}

// drawDowntime draws the two actions by which a process is paused, killed or terminated, and later
// continued or started again.
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
