package soak

import (
	"context"
	"fmt"
	"time"
)

const (
	stallCheckInterval = 50 * time.Millisecond
	// maxTimerDelay is how late a timer may be before the machine counts as held up.
	maxTimerDelay = 250 * time.Millisecond
)

// watchStalls notes when the machine that plays is held up itself, until ctx ends.
func watchStalls(ctx context.Context, l *faultLog) {
	for ctx.Err() == nil {
		due := time.Now().Add(stallCheckInterval)
		time.Sleep(stallCheckInterval)
		if late := time.Since(due); late > maxTimerDelay {
			l.add("machine", fmt.Sprintf("held up for %v", late.Round(time.Millisecond)), 0)
		}
	}
}
