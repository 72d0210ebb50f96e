package soak

import (
	"math/rand/v2"
	"syscall"
	"time"
)

var (
	// betweenOutages are the times between two power losses of all processes except the workers.
	betweenOutages = span{16 * time.Second, 26 * time.Second}
	// powerOffTimes are how long the power is off, restartSpread the additional time until each process is
	// started again.
	powerOffTimes = span{500 * time.Millisecond, 3 * time.Second}
	restartSpread = span{0, 400 * time.Millisecond}
	// blackholeTimes are about as long as a worker's lease, after whose expiry its agent gives the worker up.
	blackholeTimes = span{5900 * time.Millisecond, 7200 * time.Millisecond}
	// controlPauseTimes are how long the control hosts are paused around the restoration of blackholed links.
	controlPauseTimes = span{500 * time.Millisecond, 3 * time.Second}
	betweenBlackholes = span{9 * time.Second, 15 * time.Second}
)

const (
	agentOutagePercent = 80
	diskLossPercent    = 50
	// blackholeDivisor: one in blackholeDivisor links is blackholed at a time.
	blackholeDivisor = 3
)

// drawOutages draws power losses that end all control hosts and entries and most agents, some of them
// together with lost disks. It also draws links that are blackholed until the workers' leases have
// expired and that are restored while no leader responds.
func drawOutages(r *rand.Rand, size fleet, within time.Duration, p Profile) []action {
	if !p.Outages {
		return nil
	}
	var plan []action
	for at := betweenOutages.draw(r); at < within; at += betweenOutages.draw(r) {
		plan = append(plan, drawPowerLoss(r, size, at)...)
	}
	for at := betweenBlackholes.draw(r); at < within; at += betweenBlackholes.draw(r) {
		plan = append(plan, drawBlackholedLinks(r, size, at)...)
	}
	return plan
}

// drawPowerLoss draws one power loss.
func drawPowerLoss(r *rand.Rand, size fleet, at time.Duration) []action {
	var plan []action
	restartAt := at + powerOffTimes.draw(r)
	powerOff := func(kind string, host int) {
		plan = append(plan, action{at: at, kind: kind, host: host, signal: syscall.SIGKILL},
			action{at: restartAt + restartSpread.draw(r), kind: kind, host: host, starts: true})
	}
	for i := range size.controls {
		powerOff(controlKind, i)
	}
	for i := range size.entries {
		powerOff(entryKind, i)
	}
	for i := range size.workers {
		if r.IntN(100) < agentOutagePercent {
			powerOff(agentKind, i)
		}
	}
	if r.IntN(100) < diskLossPercent {
		first := r.IntN(size.controls)
		for i := range (size.controls - 1) / 2 { // keeps a majority of the disks
			plan = append(plan, action{at: (at + restartAt) / 2, kind: controlKind, host: (first + i) % size.controls, wipes: true})
		}
	}
	return plan
}

// drawBlackholedLinks draws one round of blackholed links, and a pause of all control hosts that begins
// just before the links are restored.
func drawBlackholedLinks(r *rand.Rand, size fleet, at time.Duration) []action {
	var plan []action
	restoreAt := at + blackholeTimes.draw(r)
	for _, host := range r.Perm(size.workers)[:max(1, size.workers/blackholeDivisor)] {
		plan = append(plan, action{at: at + restartSpread.draw(r), kind: linkKind, host: host, link: linkBlackhole},
			action{at: restoreAt + restartSpread.draw(r), kind: linkKind, host: host, link: linkRestore})
	}
	pauseAt := restoreAt - restartSpread.draw(r)
	resumeAt := pauseAt + controlPauseTimes.draw(r)
	for i := range size.controls {
		plan = append(plan, action{at: pauseAt, kind: controlKind, host: i, signal: syscall.SIGSTOP},
			action{at: resumeAt, kind: controlKind, host: i, signal: syscall.SIGCONT})
	}
	return plan
}
