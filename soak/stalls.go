package soak

import (
	"context"
	"fmt"
	"time"
)

const (
	tickEvery = 50 * time.Millisecond
	// maxLate is how late a timer may be before the machine counts as held up.
	maxLate = 250 * time.Millisecond
)

// watchStalls notes when the machine that plays is held up itself, until ctx ends.
func watchStalls(ctx context.Context, l *faultLog) {
	for ctx.Err() == nil {
		due := time.Now().Add(tickEvery)
		time.Sleep(tickEvery)
		if late := time.Since(due); late > maxLate {
			l.note("machine", fmt.Sprintf("held up for %v", late.Round(time.Millisecond)), 0)
		}
	}
}
