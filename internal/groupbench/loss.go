package main

import (
	"context"
	"fmt"
	"time"
)

const (
	lossDuration = 12 * time.Second
	// lossRequestInterval is the time from a response to the next request while the quorum is
	// lost.
	lossRequestInterval = 10 * time.Millisecond
)

// lossResult counts the responses of the one remaining entry while the control group has no
// quorum.
type lossResult struct {
	answered, refused int
	// lastAnswer is the time from the loss of the quorum to the last answered request.
	lastAnswer time.Duration
}

// measureQuorumLoss stops all entries except the first and sends requests to the first.
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
