package gate

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

// collectDecisions takes in what the gate decided about waiting attempts.
func (w *simulation) collectDecisions() {
	for _, d := range w.gate.Decisions() {
		i := slices.IndexFunc(w.attempts, func(a *attempt) bool { return a.dispatch.Key == d.Key })
		a, ad := w.attempts[i], d.Admission
		if !a.waiting || ad.Wait {
			w.fail("%v was decided about and does not wait", d.Key)
		}
		a.waiting = false
		w.waitResults[ad.Verdict.Reason]++
		if ad.Run {
			w.checkStarted(a, ad)
			continue
		}
		if ad.Verdict.Outcome != apiv1.Outcome_OUTCOME_NOT_RUN || ad.Verdict.RetryAfter <= 0 {
			w.fail("%v waited and was told %v, to come back after %v", d.Key, ad.Verdict.Outcome, ad.Verdict.RetryAfter)
		}
		w.checkRefused(a, ad.Verdict)
	}
	for _, a := range w.attemptsAt("", isWaiting) {
		if t := a.dispatch.Target; len(w.attemptsAt(t, isRunning)) < 3 || !w.withdrawnAt[t].IsZero() {
			w.fail("%v was not decided about at once", a.dispatch.Key)
		}
	}
}

// checkWaiting looks for what is held back although its end is known, for slots that stay
// idle, and for queues that are too long or that the load does not show.
func (w *simulation) checkWaiting() {
	for _, info := range w.gate.Targets(w.now) {
		waiting, busy := w.attemptsAt(info.Name, isWaiting), len(w.attemptsAt(info.Name, isRunning))
		if int(info.Load.InFlight) != busy+len(waiting) {
			w.fail("load is %d with %d in progress and %d waiting", info.Load.InFlight, busy, len(waiting))
		}
		if len(waiting) > MaxWaiting || len(waiting) > 0 && (busy < 3 || info.Leaving) {
			w.fail("%d wait, %d in progress, leaving: %v", len(waiting), busy, info.Leaving)
		}
	}
	for _, a := range w.attemptsAt("", isWaiting) {
		if a.latestStart.Before(w.now) || w.now.Sub(w.resumedAt) < w.gate.limits.StallGrace || !w.isFresh(a) {
			w.fail("%v still waits", a.dispatch.Key)
		}
	}
	if n := len(w.attemptsAt("", isWaiting)); n != w.gate.Waiting() {
		w.fail("%d wait, the gate has %d", n, w.gate.Waiting())
	}
}

// isFresh reports whether either side knew within the bound that the configuration is in force.
func (w *simulation) isFresh(a *attempt) bool {
	age := a.dispatch.ConfirmedAge
	return age >= 0 && age+w.now.Sub(a.arrivedAt) <= 3*time.Second || w.now.Sub(w.gate.ConfirmedAt()) <= 3*time.Second
}

func (w *simulation) checkMemory() {
	attempts, tombstones := w.gate.RecordCounts()
	answers := 0
	for _, r := range w.gate.records.byKey {
		answers += proto.Size(r.verdict.Response)
	}
	if attempts > 8 || tombstones > 8 || answers > 24 {
		w.fail("memory is not bounded: %d attempts, %d tombstones, %d bytes of answers", attempts, tombstones, answers)
	}
}

// checkStarted judges that an attempt may run now.
func (w *simulation) checkStarted(a *attempt, ad Admission) {
	d := a.dispatch
	a.runs++
	a.running = true
	t := w.gate.targets[d.Target]
	ahead := func(b *attempt) bool {
		return b.waiting && (d.Batch && !b.dispatch.Batch || d.Batch == b.dispatch.Batch && b.arrivedAt.Add(b.dispatch.Remaining).Before(ad.Deadline))
	}
	switch {
	case a.runs > 1:
		w.fail("%v ran twice", d.Key)
	case a.reportedNotRun:
		w.fail("%v ran after it was said that it was not run", d.Key)
	case d.Incarnation != w.incarnation:
		w.fail("%v was meant for another incarnation", d.Key)
	case len(w.attemptsAt(d.Target, isRunning)) > 3:
		w.fail("target has %d requests in 3 slots", len(w.attemptsAt(d.Target, isRunning)))
	case !a.latestStart.IsZero() && w.now.After(a.latestStart):
		w.fail("%v was started too late to finish", d.Key)
	case len(w.attemptsAt(d.Target, ahead)) > 0:
		w.fail("%v overtook a more urgent one", d.Key)
	case w.now.After(t.expiresAt) || !w.withdrawnAt[d.Target].IsZero():
		w.fail("a leaving target got %v", d.Key)
	case !w.isFresh(a):
		w.fail("%v ran on a stale configuration", d.Key)
	case w.now.Sub(w.resumedAt) < w.gate.limits.StallGrace || w.now.Sub(w.lastExpireAt) > w.gate.limits.StallBound:
		w.fail("%v was taken by an agent that had stood still", d.Key)
	case ad.Deadline.After(a.arrivedAt.Add(d.Remaining)):
		w.fail("deadline was prolonged")
	}
}

func (w *simulation) checkRefused(a *attempt, v Verdict) {
	if v.Outcome != apiv1.Outcome_OUTCOME_NOT_RUN {
		w.checkKnown(a, v)
		return
	}
	if a.runs > 0 && a.dispatch.Incarnation == w.incarnation {
		w.fail("%v ran, a duplicate of it was told %v", a.dispatch.Key, v.Reason)
	}
	a.reportedNotRun, a.reportedAt = true, w.now
}

func (w *simulation) checkKnown(a *attempt, v Verdict) {
	if v.Response != nil && string(v.Response.Body) != a.dispatch.Key.RequestID {
		w.fail("%v got the answer of %s", a.dispatch.Key, v.Response.Body)
	}
	if isTargetResponse(v.Outcome) && a.runs == 0 {
		w.fail("%v was answered without a run", a.dispatch.Key)
	}
}
