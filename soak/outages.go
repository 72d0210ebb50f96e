package soak

import (
	"math/rand/v2"
	"syscall"
	"time"
)

var (
	// betweenOutages are the times between two losses of power of everything but the workers.
	betweenOutages = span{16 * time.Second, 26 * time.Second}
	// powerOffTimes is how long the power is away, restartSpread how far apart processes are back.
	powerOffTimes = span{500 * time.Millisecond, 3 * time.Second}
	restartSpread = span{0, 400 * time.Millisecond}
	// blackholeTimes are about as long as a worker holds a lease, after which its agent gives it up.
	blackholeTimes = span{5900 * time.Millisecond, 7200 * time.Millisecond}
	// controlPauseTimes is how long the control hosts stand still when dark links are mended.
	controlPauseTimes = span{500 * time.Millisecond, 3 * time.Second}
	betweenBlackholes = span{9 * time.Second, 15 * time.Second}
)

const (
	agentOutagePercent = 80
	diskLossPercent    = 50
	// blackholeDivisor is one in how many links goes dark at a time.
	blackholeDivisor = 3
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
		plan = append(plan, drawPowerLoss(r, of, at)...)
	}
	for at := betweenBlackholes.draw(r); at < within; at += betweenBlackholes.draw(r) {
		plan = append(plan, drawBlackholedLinks(r, of, at)...)
	}
	return plan
}

func drawPowerLoss(r *rand.Rand, of fleet, at time.Duration) []action {
	var plan []action
	back := at + powerOffTimes.draw(r)
	away := func(kind string, host int) {
		plan = append(plan, action{at: at, kind: kind, host: host, signal: syscall.SIGKILL},
			action{at: back + restartSpread.draw(r), kind: kind, host: host, starts: true})
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
	if r.IntN(100) < diskLossPercent {
		first := r.IntN(of.controls)
		for i := range (of.controls - 1) / 2 { // a majority of the disks is left
			plan = append(plan, action{at: (at + back) / 2, kind: controlKind, host: (first + i) % of.controls, wipes: true})
		}
	}
	return plan
}

func drawBlackholedLinks(r *rand.Rand, of fleet, at time.Duration) []action {
	var plan []action
	mend := at + blackholeTimes.draw(r)
	for _, host := range r.Perm(of.workers)[:max(1, of.workers/blackholeDivisor)] {
		plan = append(plan, action{at: at + restartSpread.draw(r), kind: linkKind, host: host, link: linkBlackhole},
			action{at: mend + restartSpread.draw(r), kind: linkKind, host: host, link: linkRestore})
	}
	still := mend - restartSpread.draw(r)
	goOn := still + controlPauseTimes.draw(r)
	for i := range of.controls {
		plan = append(plan, action{at: still, kind: controlKind, host: i, signal: syscall.SIGSTOP},
			action{at: goOn, kind: controlKind, host: i, signal: syscall.SIGCONT})
	}
	return plan
}
