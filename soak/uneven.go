package soak

import (
	"context"
	"math/rand/v2"
	"slices"
	"syscall"
	"time"
)

var (
	// processPauses are short pauses such as those of a process that shares its processor.
	processPauses        = span{20 * time.Millisecond, 300 * time.Millisecond}
	betweenProcessPauses = span{0, 300 * time.Millisecond}
)

// pauseProcesses pauses cairnlift's processes for moments until ctx ends, one at a time. These count as no
// faults: every machine has them.
func (c *cluster) pauseProcesses(ctx context.Context, r *rand.Rand) {
	processes := slices.Concat(c.controls, c.entries)
	for _, h := range c.hosts {
		processes = append(processes, h.agent)
	}
	for ctx.Err() == nil {
		processes[r.IntN(len(processes))].pauseFor(ctx, processPauses.draw(r))
		sleep(ctx, betweenProcessPauses.draw(r))
	}
}

// pauseFor pauses the process for a moment, unless it is paused already.
func (p *process) pauseFor(ctx context.Context, d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.running() || p.paused {
		return
	}
	_ = p.cmd.Process.Signal(syscall.SIGSTOP) // it may have ended just now
	sleep(ctx, d)
	_ = p.cmd.Process.Signal(syscall.SIGCONT)
}
