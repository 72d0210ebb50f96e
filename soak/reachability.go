package soak

import (
	"strings"
	"syscall"
	"time"
)

// reachable reports whether, at a moment, a worker's agent was running and its link forwarded new
// connections.
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

// lastFault returns the last action on a process or link at or before a moment, or "" if there was none.
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

// faultsOf returns the faults of a process or link in order. It uses an index, since the checker calls it for
// every sampled moment.
func (rec *record) faultsOf(name string) []fault {
	if rec.indexedFaults != len(rec.faults) {
		rec.byProcess, rec.indexedFaults = map[string][]fault{}, len(rec.faults)
		for _, f := range rec.faults {
			rec.byProcess[f.Process] = append(rec.byProcess[f.Process], f)
		}
	}
	return rec.byProcess[name]
}

// mayBeDelayed reports whether calls of a worker may have been delayed between two moments, because its link
// was faulty or the worker was paused.
func (rec *record) mayBeDelayed(worker string, from, to time.Time) bool {
	link := "link-" + strings.TrimPrefix(worker, "w")
	faulty := func(at time.Time) bool {
		mode := linkMode(rec.lastFault(link, at))
		return mode != "" && mode != linkRestore || rec.lastFault(worker, at) == syscall.SIGSTOP.String()
	}
	if faulty(from) {
		return true
	}
	for _, f := range rec.faults {
		if (f.Process == link || f.Process == worker) && f.at().After(from) && !f.at().After(to) && faulty(f.at()) {
			return true
		}
	}
	return false
}
