package soak

import (
	"strings"
	"syscall"
	"time"
)

// reachable reports whether a worker's agent was at work at a moment and could talk to it.
func (rec *record) reachable(worker string, at time.Time) bool {
	number := strings.TrimPrefix(worker, "w")
	agent := rec.lastFault("agent-"+number, at)
	switch agent {
	case "", "started", syscall.SIGCONT.String():
	default:
		return false
	}
	switch linkMode(rec.lastFault("link-"+number, at)) {
	case "", linkRestore, linkDelay, linkReset, linkStallExisting:
		return true
	}
	return false
}

// lastFault is what was done last to a process or link before a moment.
func (rec *record) lastFault(name string, at time.Time) string {
	last := ""
	for _, f := range rec.faultsOf(name) {
		if f.at().After(at) {
			break
		}
		last = f.What
	}
	return last
}

// faultsOf are the faults of a process or link, in order. A judge asks for them at each moment that it
// looks at.
func (rec *record) faultsOf(name string) []fault {
	if rec.indexedFaults != len(rec.faults) {
		rec.byProcess, rec.indexedFaults = map[string][]fault{}, len(rec.faults)
		for _, f := range rec.faults {
			rec.byProcess[f.Process] = append(rec.byProcess[f.Process], f)
		}
	}
	return rec.byProcess[name]
}

// mayBeDelayed reports whether calls of a worker may have been held up within a time: its link was
// disturbed, or the worker stood still.
func (rec *record) mayBeDelayed(worker string, from, to time.Time) bool {
	link := "link-" + strings.TrimPrefix(worker, "w")
	disturbed := func(at time.Time) bool {
		mode := linkMode(rec.lastFault(link, at))
		return mode != "" && mode != linkRestore || rec.lastFault(worker, at) == syscall.SIGSTOP.String()
	}
	if disturbed(from) {
		return true
	}
	for _, f := range rec.faults {
		if (f.Process == link || f.Process == worker) && f.at().After(from) && !f.at().After(to) && disturbed(f.at()) {
			return true
		}
	}
	return false
}
