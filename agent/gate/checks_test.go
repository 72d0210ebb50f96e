package gate

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

// collectDecisions checks and records the gate's decisions about waiting attempts.
func (s *simulation) collectDecisions() {
	for _, d := range s.gate.Decisions() {
		i := slices.IndexFunc(s.attempts, func(a *attempt) bool { return a.dispatch.Key == d.Key })
		a, ad := s.attempts[i], d.Admission
		if !a.waiting || ad.Wait {
			s.fail("%v was decided but does not wait", d.Key)
		}
		a.waiting = false
		s.waitResults[ad.Verdict.Reason]++
		if ad.Run {
			s.checkStarted(a, ad)
			continue
		}
		if ad.Verdict.Outcome != apiv1.Outcome_OUTCOME_NOT_RUN || ad.Verdict.RetryAfter <= 0 {
			s.fail("%v waited and was refused with %v, retry after %v", d.Key, ad.Verdict.Outcome, ad.Verdict.RetryAfter)
		}
		s.checkRefused(a, ad.Verdict)
	}
	for _, a := range s.attemptsAt("", isWaiting) {
		if t := a.dispatch.Target; len(s.attemptsAt(t, isRunning)) < 3 || !s.withdrawnAt[t].IsZero() {
			s.fail("%v was not decided at once", a.dispatch.Key)
		}
	}
}

// checkWaiting fails if an attempt waits although it must be refused, if slots are idle while
// attempts wait, or if a queue is too long or missing from the load.
func (s *simulation) checkWaiting() {
	for _, info := range s.gate.Targets(s.now) {
		waiting, busy := s.attemptsAt(info.Name, isWaiting), len(s.attemptsAt(info.Name, isRunning))
		if int(info.Load.InFlight) != busy+len(waiting) {
			s.fail("load is %d with %d running and %d waiting", info.Load.InFlight, busy, len(waiting))
		}
		if len(waiting) > MaxWaiting || len(waiting) > 0 && (busy < 3 || info.Leaving) {
			s.fail("%d wait, %d running, leaving: %v", len(waiting), busy, info.Leaving)
		}
	}
	for _, a := range s.attemptsAt("", isWaiting) {
		if a.latestStart.Before(s.now) || s.now.Sub(s.resumedAt) < s.gate.limits.StallGrace || !s.isFresh(a) {
			s.fail("%v still waits", a.dispatch.Key)
		}
	}
	if n := len(s.attemptsAt("", isWaiting)); n != s.gate.Waiting() {
		s.fail("%d wait, the gate has %d", n, s.gate.Waiting())
	}
}

// isFresh reports whether the entry or the gate confirmed the configuration within the bound.
func (s *simulation) isFresh(a *attempt) bool {
	age := a.dispatch.ConfirmedAge
	return age >= 0 && age+s.now.Sub(a.arrivedAt) <= 3*time.Second || s.now.Sub(s.gate.ConfirmedAt()) <= 3*time.Second
}

func (s *simulation) checkMemory() {
	attempts, tombstones := s.gate.RecordCounts()
	responseBytes := 0
	for _, r := range s.gate.records.byKey {
		responseBytes += proto.Size(r.verdict.Response)
	}
	if attempts > 8 || tombstones > 8 || responseBytes > 24 {
		s.fail("memory is not bounded: %d attempts, %d tombstones, %d bytes of responses", attempts, tombstones, responseBytes)
	}
}

// checkStarted records an attempt as running and fails if it must not run now.
func (s *simulation) checkStarted(a *attempt, ad Admission) {
	d := a.dispatch
	a.runs++
	a.running = true
	t := s.gate.targets[d.Target]
	ahead := func(b *attempt) bool {
		return b.waiting && (d.Batch && !b.dispatch.Batch || d.Batch == b.dispatch.Batch && b.arrivedAt.Add(b.dispatch.Remaining).Before(ad.Deadline))
	}
	switch {
	case a.runs > 1:
		s.fail("%v ran twice", d.Key)
	case a.reportedNotRun:
		s.fail("%v ran after it was reported as not run", d.Key)
	case d.Incarnation != s.incarnation:
		s.fail("%v names another incarnation", d.Key)
	case len(s.attemptsAt(d.Target, isRunning)) > 3:
		s.fail("target has %d requests in 3 slots", len(s.attemptsAt(d.Target, isRunning)))
	case !a.latestStart.IsZero() && s.now.After(a.latestStart):
		s.fail("%v was started too late to finish", d.Key)
	case len(s.attemptsAt(d.Target, ahead)) > 0:
		s.fail("%v overtook a more urgent one", d.Key)
	case s.now.After(t.expiresAt) || !s.withdrawnAt[d.Target].IsZero():
		s.fail("%v was sent to a leaving target", d.Key)
	case !s.isFresh(a):
		s.fail("%v ran on a stale configuration", d.Key)
	case s.now.Sub(s.resumedAt) < s.gate.limits.StallGrace || s.now.Sub(s.lastExpireAt) > s.gate.limits.StallBound:
		s.fail("%v was admitted by an agent that had been paused", d.Key)
	case ad.Deadline.After(a.arrivedAt.Add(d.Remaining)):
		s.fail("deadline was extended")
	}
}

func (s *simulation) checkRefused(a *attempt, v Verdict) {
	if v.Outcome != apiv1.Outcome_OUTCOME_NOT_RUN {
		s.checkKnown(a, v)
		return
	}
	if a.runs > 0 && a.dispatch.Incarnation == s.incarnation {
		s.fail("%v ran, but its duplicate was refused with %v", a.dispatch.Key, v.Reason)
	}
	a.reportedNotRun, a.reportedAt = true, s.now
}

func (s *simulation) checkKnown(a *attempt, v Verdict) {
	if v.Response != nil && string(v.Response.Body) != a.dispatch.Key.RequestID {
		s.fail("%v got the response of %s", a.dispatch.Key, v.Response.Body)
	}
	if isTargetResponse(v.Outcome) && a.runs == 0 {
		s.fail("%v has a response but did not run", a.dispatch.Key)
	}
}
