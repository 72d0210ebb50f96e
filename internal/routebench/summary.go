package main

import (
	"time"

	"github.com/cairnlift/cairnlift/internal/routesim"
)

// summary is the mean over a row's seeds: times in milliseconds, shares in
// percent. Counts of violated invariants are summed.
type summary struct {
	p50, p99, p999, pastObjective       float64
	goodput                             float64
	refused, failed, unknown            float64
	refusalMs, retryAfterMs             float64
	retries, hedges, slotsFull          float64
	busiest, others                     float64
	unfinished, runTwice, finishedTwice int
}

func summarize(reports []*routesim.Report) summary {
	var t summary
	n := float64(len(reports))
	for _, r := range reports {
		offered := float64(r.Offered())
		started := max(1, offered-float64(r.Refused))
		t.p50 += millis(r.Quantile(50)) / n
		t.p99 += millis(r.Quantile(99)) / n
		t.p999 += millis(r.Quantile(99.9)) / n
		t.pastObjective += 100 * float64(r.PastObjective) / max(1, float64(r.Answered)) / n
		t.goodput += r.Goodput() / n
		t.refused += 100 * float64(r.Refused) / offered / n
		t.failed += 100 * float64(r.Failed) / offered / n
		t.unknown += 100 * float64(r.Unknown) / offered / n
		t.refusalMs += millis(r.RefusalMean) / n
		t.retryAfterMs += millis(r.RetryAfterMean) / n
		t.retries += 100 * float64(r.Retries) / started / n
		t.hedges += 100 * float64(r.Hedges) / started / n
		t.slotsFull += 100 * float64(r.SlotsFull) / started / n
		t.busiest += 100 * r.BusiestAnswered / n
		t.others += 100 * r.OthersAnswered / n
		t.unfinished += r.Unfinished
		t.runTwice += r.RunTwice
		t.finishedTwice += r.FinishedTwice
	}
	return t
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
