package cordon

import (
	"context"
	"sync"
	"time"
)

const (
	// pauseCheckInterval is the time between two checks for a pause of the process.
	pauseCheckInterval = 100 * time.Millisecond
	// minPause is the least delay of a check that counts as a pause. Together with pauseCheckInterval and
	// maxOrderAge it is less than callerPatience, so that an order that waited through a pause which was
	// not noticed is still wanted.
	minPause = 300 * time.Millisecond
)

// pauses records when the process was last suspended or stopped.
type pauses struct {
	// now reads a clock that goes on while the host is suspended.
	now func() time.Duration

	mu        sync.Mutex
	checkedAt time.Duration
	endedAt   time.Duration
	anyEnded  bool
}

func newPauses(now func() time.Duration) *pauses { return &pauses{now: now, checkedAt: now()} }

// run checks for pauses until ctx ends.
func (p *pauses) run(ctx context.Context) {
	ticker := time.NewTicker(pauseCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			p.check()
		}
	}
}

func (p *pauses) check() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	if now-p.checkedAt >= pauseCheckInterval+minPause {
		p.endedAt, p.anyEnded = now, true
	}
	p.checkedAt = now
}

// endedSince reports whether a pause has ended at or after the given reading of the clock.
func (p *pauses) endedSince(reading time.Duration) bool {
	p.check()
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.anyEnded && p.endedAt >= reading
}
