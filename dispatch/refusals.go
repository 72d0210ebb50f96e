package dispatch

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/cairnlift/cairnlift/admission"
	"github.com/cairnlift/cairnlift/hdrmetric"
	"github.com/cairnlift/cairnlift/logging/event"
)

const (
	// maxRefusalLines bounds the lines about single refusals in an interval; the others are summed up
	// in one line.
	maxRefusalLines    = 10
	refusalLogInterval = time.Second
	// maxRefusedAccountsLogged bounds the accounts in a summary, those with the most refusals first.
	maxRefusedAccountsLogged = 10
)

// refusedSubmission is a refusal with what it was decided by.
type refusedSubmission struct {
	request  admission.Request
	backlog  admission.Backlog
	decision admission.Decision
}

// refusalLog logs refusals.
type refusalLog struct {
	logger *zap.Logger
	// began is the start of the interval, lines the number of lines in it, and byReason and byAccount
	// count the refusals without a line.
	began     time.Time
	lines     int
	byReason  map[string]int
	byAccount map[string]int
}

func newRefusalLog(logger *zap.Logger) refusalLog {
	return refusalLog{logger: logger, byReason: map[string]int{}, byAccount: map[string]int{}}
}

func (g *refusalLog) add(term uint64, r refusedSubmission, now time.Time) {
	g.flushIfDue(term, now)
	if g.lines == 0 {
		g.began = now
	}
	if g.lines < maxRefusalLines {
		g.lines++
		event.SubmissionRefused.Write(g.logger, event.Term(term), event.Job(r.request.Job), event.Account(r.request.Account),
			event.Reason(r.decision.Reason.String()), event.Estimate(r.decision.Estimate), event.EstimateError(r.decision.Error),
			event.Allowed(r.request.Allowed), event.WorkAhead(r.backlog.Ahead.CoreMs, r.backlog.Ahead.BackfillMs),
			event.QueueingDelay(r.backlog.Delay), event.RetryAfter(r.decision.RetryAfter))
		return
	}
	g.byReason[r.decision.Reason.String()]++
	if g.byAccount[r.request.Account] > 0 || len(g.byAccount) < maxTrackedAccounts {
		g.byAccount[r.request.Account]++
	}
}

// maxTrackedAccounts bounds the accounts that are counted in an interval.
const maxTrackedAccounts = 1024

func (g *refusalLog) flushIfDue(term uint64, now time.Time) {
	if g.lines > 0 && now.Sub(g.began) >= refusalLogInterval {
		g.flush(term, now)
	}
}

// flush writes the summary of the interval and begins the next one.
func (g *refusalLog) flush(term uint64, now time.Time) {
	if len(g.byReason) > 0 {
		event.SubmissionsRefused.Write(g.logger, event.Term(term), event.RefusalsByReason(formatCounts(g.byReason, len(g.byReason))),
			event.RefusalsByAccount(formatCounts(g.byAccount, maxRefusedAccountsLogged)), event.Took(now.Sub(g.began)))
	}
	clear(g.byReason)
	clear(g.byAccount)
	g.lines = 0
}

// formatCounts formats the highest counts as "NAME COUNT".
func formatCounts(counts map[string]int, limit int) []string {
	names := slices.SortedFunc(maps.Keys(counts), func(a, b string) int {
		return cmp.Or(cmp.Compare(counts[b], counts[a]), cmp.Compare(a, b))
	})
	var list []string
	for _, name := range names[:min(limit, len(names))] {
		list = append(list, fmt.Sprintf("%s %d", cmp.Or(name, "-"), counts[name]))
	}
	return list
}

// admissionMetrics are the metrics of decisions on submissions.
type admissionMetrics struct {
	accepted, overflow metrics.Counter
	byReason           map[admission.Reason]metrics.Counter
	// estimate and outcome are the expected and the actual time of accepted jobs that succeeded.
	estimate, outcome, decision *hdrmetric.Histogram
}

func newAdmissionMetrics(r metrics.Registry) admissionMetrics {
	m := admissionMetrics{
		accepted: metrics.GetOrRegisterCounter("admission.accepted", r), overflow: metrics.GetOrRegisterCounter("admission.refused.overflow", r),
		byReason: map[admission.Reason]metrics.Counter{}, estimate: hdrmetric.GetOrRegister("admission.estimate_us", r),
		outcome: hdrmetric.GetOrRegister("admission.outcome_us", r), decision: hdrmetric.GetOrRegister("admission.decision_us", r),
	}
	for reason, name := range map[admission.Reason]string{
		admission.TooLate: "too_late", admission.Delayed: "delayed", admission.EarlyReturn: "early_return",
	} {
		m.byReason[reason] = metrics.GetOrRegisterCounter("admission.refused."+name, r)
	}
	return m
}

func (m *admissionMetrics) record(d admission.Decision) {
	if d.Reason == admission.Accepted {
		m.accepted.Inc(1)
		return
	}
	m.byReason[d.Reason].Inc(1)
}
