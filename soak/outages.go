package soak

import (
	"math/rand/v2"
	"syscall"
	"time"
)

var (
	// betweenOutages are the times between two losses of power of everything but the workers.
	betweenOutages = span{16 * time.Second, 26 * time.Second}
	// powerAway is how long the power is away, backApart how far apart processes are back.
	powerAway = span{500 * time.Millisecond, 3 * time.Second}
	backApart = span{0, 400 * time.Millisecond}
	// darkTimes are about as long as a worker holds a lease, after which its agent gives it up.
	darkTimes = span{5900 * time.Millisecond, 7200 * time.Millisecond}
	// standstill is how long the control hosts stand still when dark links are mended.
	standstill   = span{500 * time.Millisecond, 3 * time.Second}
	betweenDarks = span{9 * time.Second, 15 * time.Second}
)

const (
	agentOutagePercent = 80
	wipePercent        = 50
	// darkShare is one in how many links goes dark at a time.
	darkShare = 3
)

// drawOutages draws losses of power that take all control hosts and entries and most agents with
// them, some beside a lost disk; and links that are dark until the workers' leases have run out, while
// no leader answers when they are mended.
func drawOutages(r *rand.Rand, of fleet, within time.Duration, p Profile) []action {
	if !p.Outages {
		return nil
	}
	var plan []action
	for at := betweenOutages.draw(r); at < within; at += betweenOutages.draw(r) {
		plan = append(plan, drawOutage(r, of, at)...)
	}
	for at := betweenDarks.draw(r); at < within; at += betweenDarks.draw(r) {
		plan = append(plan, drawDarkLinks(r, of, at)...)
	}
	return plan
}

func drawOutage(r *rand.Rand, of fleet, at time.Duration) []action {
	var plan []action
	back := at + powerAway.draw(r)
	away := func(kind string, host int) {
		plan = append(plan, action{at: at, kind: kind, host: host, signal: syscall.SIGKILL},
			action{at: back + backApart.draw(r), kind: kind, host: host, starts: true})
	}
	for i := range of.controls {
		away(controlKind, i)
	}
	for i := range of.entries {
		away(entryKind, i)
	}
	for i := range of.workers {
		if r.IntN(100) < agentOutagePercent {
			away(agentKind, i)
		}
	}
	if r.IntN(100) < wipePercent {
		first := r.IntN(of.controls)
		for i := range (of.controls - 1) / 2 { // a majority of the disks is left
			plan = append(plan, action{at: (at + back) / 2, kind: controlKind, host: (first + i) % of.controls, wipes: true})
		}
	}
	return plan
}

func drawDarkLinks(r *rand.Rand, of fleet, at time.Duration) []action {
	var plan []action
	mend := at + darkTimes.draw(r)
	for _, host := range r.Perm(of.workers)[:max(1, of.workers/darkShare)] {
		plan = append(plan, action{at: at + backApart.draw(r), kind: linkKind, host: host, link: linkDark},
			action{at: mend + backApart.draw(r), kind: linkKind, host: host, link: linkMend})
	}
	still := mend - backApart.draw(r)
	goOn := still + standstill.draw(r)
	for i := range of.controls {
		plan = append(plan, action{at: still, kind: controlKind, host: i, signal: syscall.SIGSTOP},
			action{at: goOn, kind: controlKind, host: i, signal: syscall.SIGCONT})
	}
	return plan
}
