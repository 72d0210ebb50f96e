package soak

import (
	"context"
	"math/rand/v2"
	"slices"
	"syscall"
	"time"
)

var (
	// hitches are short pauses such as those of a process that shares its processor.
	hitches      = span{20 * time.Millisecond, 300 * time.Millisecond}
	betweenThose = span{0, 300 * time.Millisecond}
)

// hitch pauses cairnlift's processes for moments until ctx ends, one at a time. These count as no
// faults: every machine has them.
func (c *cluster) hitch(ctx context.Context, r *rand.Rand) {
	processes := slices.Concat(c.controls, c.entries)
	for _, h := range c.hosts {
		processes = append(processes, h.agent)
	}
	for ctx.Err() == nil {
		processes[r.IntN(len(processes))].hold(ctx, hitches.draw(r))
		sleep(ctx, betweenThose.draw(r))
	}
}

// hold pauses the process for a moment, unless it is paused already.
func (p *process) hold(ctx context.Context, d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.running() || p.paused {
		return
	}
	_ = p.cmd.Process.Signal(syscall.SIGSTOP) // it may have ended just now
	sleep(ctx, d)
	_ = p.cmd.Process.Signal(syscall.SIGCONT)
}
