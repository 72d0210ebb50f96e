package gate

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

const (
	seeds = 400
	steps = 600
)

// tightLimits returns limits that are all reached within one run.
func tightLimits() Limits {
	l := DefaultLimits()
	l.Retention, l.MinRetention = 2*time.Second, 500*time.Millisecond
	l.MaxRecords, l.MaxTombstones, l.MaxResponseBytes = 8, 8, 24
	l.TombstoneWindow, l.RevokeMargin = 20*time.Second, 300*time.Millisecond
	return l
}

// attempt is the true state of one attempt, as the simulation knows it.
type attempt struct {
	dispatch       Dispatch
	sentAt         time.Time
	arrivedAt      time.Time
	waiting        bool
	latestStart    time.Time // Set while it waits.
	runs           int
	running        bool
	finishedAt     time.Time
	reportedNotRun bool
	reportedAt     time.Time
}

// simulation drives a gate with random events in virtual time and checks its replies.
type simulation struct {
	t            *testing.T
	rng          *rand.Rand
	now          time.Time
	gate         *Gate
	incarnation  uint64
	attempts     []*attempt
	waitResults  map[apiv1.Reason]int // Reasons for which waiting ended; UNSPECIFIED is a run.
	withdrawnAt  map[string]time.Time
	lastExpireAt time.Time
	resumedAt    time.Time // When the agent resumed after a pause.
}

func newSimulation(t *testing.T, seed int64) *simulation {
	s := &simulation{t: t, rng: rand.New(rand.NewSource(seed)), now: time.Unix(1e9, 0), waitResults: map[apiv1.Reason]int{}}
	s.restart()
	return s
}

func (s *simulation) restart() {
	s.incarnation++
	s.gate = New(s.incarnation, tightLimits())
	s.gate.Configure(&apiv1.Configuration{Version: 3, Services: []*apiv1.Service{{Name: "s", Slots: 3, Connections: 5}}})
	if s.gate.Configure(&apiv1.Configuration{Version: 2}) || s.gate.ConfigurationVersion() != 3 {
		s.fail("the configuration reverted")
	}
	for _, a := range s.attempts {
		a.running, a.waiting = false, false
	}
	s.withdrawnAt = map[string]time.Time{}
	s.gate.Expire(s.now)
	s.lastExpireAt, s.resumedAt = s.now, time.Time{}
}

func (s *simulation) fail(format string, args ...any) { s.t.Helper(); s.t.Fatalf(format, args...) }

func (s *simulation) recentAttempt() *attempt {
	if len(s.attempts) == 0 {
		return nil
	}
	recent := min(len(s.attempts), 30)
	return s.attempts[len(s.attempts)-1-s.rng.Intn(recent)]
}

func (s *simulation) step() {
	s.advanceTo(s.now.Add(time.Duration(s.rng.Int63n(int64(60 * time.Millisecond)))))
	switch n := s.rng.Intn(100); {
	case n < 28:
		s.send()
	case n < 40:
		s.redeliver()
	case n < 70:
		s.finish()
	case n < 82:
		s.revoke()
	case n < 84:
		s.cancel()
	case n < 93:
		s.announce()
	case n < 95:
		s.withdraw()
	case n < 98:
		s.gate.Confirm(3, s.now.Add(-time.Duration(s.rng.Int63n(int64(4*time.Second)))))
	case n < 99:
		s.now = s.now.Add(time.Duration(s.rng.Int63n(int64(3 * time.Second))))
		s.send()
	case s.rng.Intn(4) == 0:
		s.restart()
	}
	if s.now.Sub(s.lastExpireAt) > s.gate.limits.StallBound {
		s.resumedAt = s.now
	}
	s.gate.Expire(s.now)
	s.collectDecisions()
	s.lastExpireAt = s.now
	s.checkMemory()
	s.checkWaiting()
}

// advanceTo advances the time to until. As the timers of the agent do, it refuses each
// waiting attempt at its latest start, except for one in four, whose timer is late.
func (s *simulation) advanceTo(until time.Time) {
	for _, a := range s.attemptsAt("", func(a *attempt) bool { return a.waiting && !a.latestStart.After(until) }) {
		if s.rng.Intn(4) == 0 {
			continue
		}
		if a.latestStart.After(s.now) {
			s.now = a.latestStart
		}
		s.gate.TimeOut(s.now, a.dispatch.Key)
		s.collectDecisions()
	}
	s.now = until
}

// attemptsAt returns the attempts at a target for which f holds, ordered by latest start. An
// empty target stands for all targets.
func (s *simulation) attemptsAt(target string, f func(*attempt) bool) []*attempt {
	var found []*attempt
	for _, a := range s.attempts {
		if (target == "" || a.dispatch.Target == target) && f(a) {
			found = append(found, a)
		}
	}
	slices.SortStableFunc(found, func(a, b *attempt) int { return a.latestStart.Compare(b.latestStart) })
	return found
}

func isWaiting(a *attempt) bool { return a.waiting }
func isRunning(a *attempt) bool { return a.running }

func (s *simulation) cancel() {
	if waiting := s.attemptsAt("", isWaiting); len(waiting) > 0 {
		s.gate.Cancel(s.now, waiting[0].dispatch.Key)
		s.collectDecisions()
	}
}

func (s *simulation) randomTarget() string { return fmt.Sprintf("t%d", s.rng.Intn(2)) }

func (s *simulation) announce() {
	a := Announcement{Name: s.randomTarget(), Service: "s", Address: "127.0.0.1:1", TTL: time.Duration(1+s.rng.Intn(6)) * time.Second}
	r := s.gate.Announce(s.now, a)
	if left, ok := s.withdrawnAt[a.Name]; ok && s.now.Sub(left) < s.gate.limits.DepartedTargetRetention && r != RefusedLeaving {
		s.fail("a renewal that crossed the withdrawal added the target again")
	}
	if r != RefusedLeaving {
		delete(s.withdrawnAt, a.Name)
	}
}

func (s *simulation) withdraw() {
	name := s.randomTarget()
	if _, known := s.gate.Withdraw(s.now, name); known && s.withdrawnAt[name].IsZero() {
		s.withdrawnAt[name] = s.now
	}
	s.collectDecisions()
}

func (s *simulation) send() {
	a := &attempt{sentAt: s.now, dispatch: Dispatch{
		Key: Key{RequestID: fmt.Sprintf("r%d", len(s.attempts)), Attempt: 1}, Service: "s", Target: s.randomTarget(),
		Incarnation: s.incarnation, Remaining: time.Duration(s.rng.Int63n(int64(time.Second))),
		ConfigurationVersion: 3, ConfirmedAge: time.Duration(s.rng.Int63n(int64(6*time.Second))) - time.Second,
		Batch: s.rng.Intn(3) == 0,
	}}
	s.attempts = append(s.attempts, a)
	if s.rng.Intn(4) == 0 {
		return // It arrives late, possibly after its revocation.
	}
	s.deliver(a)
}

// redeliver delivers a late dispatch or a duplicate, within the windows for which the limits
// guarantee that it is detected.
func (s *simulation) redeliver() {
	a := s.recentAttempt()
	if a == nil || !a.arrivedAt.IsZero() && a.dispatch.Incarnation != s.incarnation {
		return
	}
	l := s.gate.limits
	if a.runs > 0 && !a.running && s.now.Sub(a.finishedAt) >= l.MinRetention {
		return
	}
	if a.reportedNotRun && s.now.Sub(a.reportedAt) >= min(l.TombstoneWindow, refusedGeneration) {
		return
	}
	s.deliver(a)
}

func (s *simulation) deliver(a *attempt) {
	if a.arrivedAt.IsZero() {
		a.arrivedAt = s.now
	}
	ad := s.gate.Admit(s.now, a.dispatch)
	s.collectDecisions()
	switch {
	case ad.Run:
		s.checkStarted(a, ad)
	case ad.Wait:
		mean := s.gate.targets[a.dispatch.Target].stats.mean
		if a.runs > 0 || a.waiting || a.reportedNotRun || ad.LatestStart.Add(mean).After(s.now.Add(a.dispatch.Remaining)) {
			s.fail("%v waits: %+v", a.dispatch.Key, a)
		}
		a.waiting, a.latestStart = true, ad.LatestStart
	default:
		s.checkRefused(a, ad.Verdict)
	}
}

func (s *simulation) finish() {
	i := slices.IndexFunc(s.attempts, func(a *attempt) bool { return a.running })
	if i < 0 {
		return
	}
	a := s.attempts[i]
	a.running, a.finishedAt = false, s.now
	v := Verdict{Outcome: apiv1.Outcome_OUTCOME_UNKNOWN}
	if s.rng.Intn(4) > 0 {
		v = Verdict{Outcome: apiv1.Outcome_OUTCOME_ANSWERED, Response: &apiv1.HttpResponse{Body: []byte(a.dispatch.Key.RequestID)}}
	}
	s.gate.Finish(s.now, a.dispatch.Key, v)
	s.collectDecisions()
}

// revoke revokes an attempt of any age. The age in the revocation is unknown, or was correct
// when the revocation was sent.
func (s *simulation) revoke() {
	if len(s.attempts) == 0 {
		return
	}
	a := s.attempts[s.rng.Intn(len(s.attempts))]
	if s.rng.Intn(2) == 0 {
		a = s.recentAttempt()
	}
	r := Revocation{Key: a.dispatch.Key, Incarnation: a.dispatch.Incarnation}
	if s.rng.Intn(3) > 0 {
		transit := time.Duration(s.rng.Int63n(int64(s.gate.limits.RevokeMargin)))
		r.Age = max(s.now.Sub(a.sentAt)-transit, 0)
	}
	f := s.gate.Revoke(s.now, r)
	s.collectDecisions()
	if f.Running != (a.running && a.dispatch.Incarnation == s.incarnation) {
		s.fail("%v: running is %v, reported %v", a.dispatch.Key, a.running, f.Running)
	}
	if f.Verdict.Outcome == apiv1.Outcome_OUTCOME_NOT_RUN {
		if a.runs > 0 {
			s.fail("%v ran, but its revocation was answered as not run", a.dispatch.Key)
		}
		a.reportedNotRun, a.reportedAt = true, s.now
		return
	}
	s.checkKnown(a, f.Verdict)
}
