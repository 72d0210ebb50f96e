package entry

import (
	"time"

	"github.com/rcrowley/go-metrics"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

// Sample sizes of the response time histogram: the usual ones of the library,
// which weigh the last five minutes.
const (
	sampleSize  = 1028
	sampleAlpha = 0.015
)

// entryMetrics are the entry's counters and histograms; docs/OPERATIONS.md names them.
type entryMetrics struct {
	answered, failed, notRun, unknown metrics.Counter
	wrongAnswers, brokenAnswers       metrics.Counter
	settlesLost                       metrics.Counter
	cutOff                            metrics.Counter
	// responseUs is the time from a request's arrival to its answer, microseconds.
	responseUs metrics.Histogram
}

func newEntryMetrics(reg metrics.Registry) *entryMetrics {
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter(name, reg) }
	return &entryMetrics{
		answered:      counter("entry.requests.answered"),
		failed:        counter("entry.requests.failed"),
		notRun:        counter("entry.requests.not_run"),
		unknown:       counter("entry.requests.unknown"),
		wrongAnswers:  counter("entry.answers.wrong"),
		brokenAnswers: counter("entry.answers.broken"),
		settlesLost:   counter("entry.settles.lost"),
		cutOff:        counter("entry.requests.cut_off"),
		responseUs:    metrics.GetOrRegisterHistogram("entry.response_us", reg, metrics.NewExpDecaySample(sampleSize, sampleAlpha)),
	}
}

func (m *entryMetrics) recordOutcome(o apiv1.Outcome, took time.Duration) {
	m.responseUs.Update(took.Microseconds())
	switch o {
	case apiv1.Outcome_OUTCOME_ANSWERED:
		m.answered.Inc(1)
	case apiv1.Outcome_OUTCOME_FAILED:
		m.failed.Inc(1)
	case apiv1.Outcome_OUTCOME_NOT_RUN:
		m.notRun.Inc(1)
	default:
		m.unknown.Inc(1)
	}
}
