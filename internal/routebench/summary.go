package main

import (
	"time"

	"github.com/cairnlift/cairnlift/internal/routesim"
)

// summary holds the means over a row's seeds: times in milliseconds, fractions in
// percent. Counts of violated invariants are summed instead.
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
	var s summary
	n := float64(len(reports))
	for _, r := range reports {
		offered := float64(r.Offered())
		started := max(1, offered-float64(r.Refused))
		s.p50 += millis(r.Quantile(50)) / n
		s.p99 += millis(r.Quantile(99)) / n
		s.p999 += millis(r.Quantile(99.9)) / n
		s.pastObjective += 100 * float64(r.PastObjective) / max(1, float64(r.Answered)) / n
		s.goodput += r.Goodput() / n
		s.refused += 100 * float64(r.Refused) / offered / n
		s.failed += 100 * float64(r.Failed) / offered / n
		s.unknown += 100 * float64(r.Unknown) / offered / n
		s.refusalMs += millis(r.RefusalMean) / n
		s.retryAfterMs += millis(r.RetryAfterMean) / n
		s.retries += 100 * float64(r.Retries) / started / n
		s.hedges += 100 * float64(r.Hedges) / started / n
		s.slotsFull += 100 * float64(r.SlotsFull) / started / n
		s.busiest += 100 * r.BusiestAnswered / n
		s.others += 100 * r.OthersAnswered / n
		s.unfinished += r.Unfinished
		s.runTwice += r.RunTwice
		s.finishedTwice += r.FinishedTwice
	}
	return s
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
