package main

import (
	"context"
	"fmt"
	"time"
)

const (
	lossDuration = 12 * time.Second
	// lossRequestInterval is the time between requests during the loss.
	lossRequestInterval = 10 * time.Millisecond
)

// lossResult counts what callers of the one entry left got while the control group had
// no quorum.
type lossResult struct {
	answered, refused int
	// lastAnswer is when, after the loss, the last request was answered.
	lastAnswer time.Duration
}

// measureQuorumLoss stops all entries but the first and sends requests to that one.
func (g *group) measureQuorumLoss(ctx context.Context) (*lossResult, error) {
	if err := g.awaitTarget(ctx); err != nil {
		return nil, err
	}
	for _, stop := range g.stopEntry[1:] {
		stop()
	}
	l := &lossResult{}
	began := time.Now()
	for time.Since(began) < lossDuration && ctx.Err() == nil {
		if g.request(ctx, 0, "") == nil {
			l.answered++
			l.lastAnswer = time.Since(began)
		} else {
			l.refused++
		}
		time.Sleep(lossRequestInterval)
	}
	return l, ctx.Err()
}

func printLoss(bounded, unbounded *lossResult) {
	fmt.Printf(`
## What the staleness bound costs

Two of the three entries, and with them the quorum, stop; callers go on through the third
for %v, a request every %v. No text can be accepted meanwhile, so every refusal is the
price of not knowing that.

| staleness bound | answered | refused | last answer after |
|---|---|---|---|
%s%s`, lossDuration, lossRequestInterval, bounded.row("3s"), unbounded.row("none"))
}

func (l *lossResult) row(bound string) string {
	return fmt.Sprintf("| %s | %d | %d | %.1f s |\n", bound, l.answered, l.refused, l.lastAnswer.Seconds())
}
