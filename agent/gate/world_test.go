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

// tightLimits make every bound bite within a run.
func tightLimits() Limits {
	l := DefaultLimits()
	l.Retention, l.MinRetention = 2*time.Second, 500*time.Millisecond
	l.MaxRecords, l.MaxTombstones, l.MaxResponseBytes = 8, 8, 24
	l.TombstoneWindow, l.RevokeMargin = 20*time.Second, 300*time.Millisecond
	return l
}

// attempt is what the world outside the gate knows to be true of one attempt.
type attempt struct {
	dispatch       Dispatch
	sentAt         time.Time
	arrivedAt      time.Time
	waiting        bool
	latestStart    time.Time // Its latest start while it waits.
	runs           int
	running        bool
	finishedAt     time.Time
	reportedNotRun bool
	reportedAt     time.Time
}

// simulation drives a gate with random events at virtual time and judges its replies.
type simulation struct {
	t            *testing.T
	rng          *rand.Rand
	now          time.Time
	gate         *Gate
	incarnation  uint64
	attempts     []*attempt
	waitResults  map[apiv1.Reason]int // How waiting ended; UNSPECIFIED is a run.
	withdrawnAt  map[string]time.Time
	lastExpireAt time.Time
	resumedAt    time.Time // When the agent went on after it had stood still.
}

func newSimulation(t *testing.T, seed int64) *simulation {
	w := &simulation{t: t, rng: rand.New(rand.NewSource(seed)), now: time.Unix(1e9, 0), waitResults: map[apiv1.Reason]int{}}
	w.restart()
	return w
}

func (w *simulation) restart() {
	w.incarnation++
	w.gate = New(w.incarnation, tightLimits())
	w.gate.Configure(&apiv1.Configuration{Version: 3, Services: []*apiv1.Service{{Name: "s", Slots: 3, Connections: 5}}})
	if w.gate.Configure(&apiv1.Configuration{Version: 2}) || w.gate.ConfigurationVersion() != 3 {
		w.fail("the configuration reverted")
	}
	for _, a := range w.attempts {
		a.running, a.waiting = false, false
	}
	w.withdrawnAt = map[string]time.Time{}
	w.gate.Expire(w.now)
	w.lastExpireAt, w.resumedAt = w.now, time.Time{}
}

func (w *simulation) fail(format string, args ...any) { w.t.Helper(); w.t.Fatalf(format, args...) }

func (w *simulation) recentAttempt() *attempt {
	if len(w.attempts) == 0 {
		return nil
	}
	recent := min(len(w.attempts), 30)
	return w.attempts[len(w.attempts)-1-w.rng.Intn(recent)]
}

func (w *simulation) step() {
	w.advanceTo(w.now.Add(time.Duration(w.rng.Int63n(int64(60 * time.Millisecond)))))
	switch n := w.rng.Intn(100); {
	case n < 28:
		w.send()
	case n < 40:
		w.redeliver()
	case n < 70:
		w.finish()
	case n < 82:
		w.revoke()
	case n < 84:
		w.cancel()
	case n < 93:
		w.announce()
	case n < 95:
		w.withdraw()
	case n < 98:
		w.gate.Confirm(3, w.now.Add(-time.Duration(w.rng.Int63n(int64(4*time.Second)))))
	case n < 99:
		w.now = w.now.Add(time.Duration(w.rng.Int63n(int64(3 * time.Second))))
		w.send()
	case w.rng.Intn(4) == 0:
		w.restart()
	}
	if w.now.Sub(w.lastExpireAt) > w.gate.limits.StallBound {
		w.resumedAt = w.now
	}
	w.gate.Expire(w.now)
	w.collectDecisions()
	w.lastExpireAt = w.now
	w.checkMemory()
	w.checkWaiting()
}

// advanceTo advances the time as a driver's timers do: each attempt that waits is
// refused at its latest start, unless the timer is late.
func (w *simulation) advanceTo(until time.Time) {
	for _, a := range w.attemptsAt("", func(a *attempt) bool { return a.waiting && !a.latestStart.After(until) }) {
		if w.rng.Intn(4) == 0 {
			continue
		}
		if a.latestStart.After(w.now) {
			w.now = a.latestStart
		}
		w.gate.TimeOut(w.now, a.dispatch.Key)
		w.collectDecisions()
	}
	w.now = until
}

// attemptsAt returns the attempts for which f holds, in the order of their latest starts.
func (w *simulation) attemptsAt(target string, f func(*attempt) bool) []*attempt {
	var found []*attempt
	for _, a := range w.attempts {
		if (target == "" || a.dispatch.Target == target) && f(a) {
			found = append(found, a)
		}
	}
	slices.SortStableFunc(found, func(a, b *attempt) int { return a.latestStart.Compare(b.latestStart) })
	return found
}

func isWaiting(a *attempt) bool { return a.waiting }
func isRunning(a *attempt) bool { return a.running }

func (w *simulation) cancel() {
	if waiting := w.attemptsAt("", isWaiting); len(waiting) > 0 {
		w.gate.Cancel(w.now, waiting[0].dispatch.Key)
		w.collectDecisions()
	}
}

func (w *simulation) randomTarget() string { return fmt.Sprintf("t%d", w.rng.Intn(2)) }

func (w *simulation) announce() {
	a := Announcement{Name: w.randomTarget(), Service: "s", Address: "127.0.0.1:1", TTL: time.Duration(1+w.rng.Intn(6)) * time.Second}
	r := w.gate.Announce(w.now, a)
	if left, ok := w.withdrawnAt[a.Name]; ok && w.now.Sub(left) < w.gate.limits.DepartedTargetRetention && r != RefusedLeaving {
		w.fail("a withdrawn target came back by a crossed renewal")
	}
	if r != RefusedLeaving {
		delete(w.withdrawnAt, a.Name)
	}
}

func (w *simulation) withdraw() {
	name := w.randomTarget()
	if _, known := w.gate.Withdraw(w.now, name); known && w.withdrawnAt[name].IsZero() {
		w.withdrawnAt[name] = w.now
	}
	w.collectDecisions()
}

func (w *simulation) send() {
	a := &attempt{sentAt: w.now, dispatch: Dispatch{
		Key: Key{RequestID: fmt.Sprintf("r%d", len(w.attempts)), Attempt: 1}, Service: "s", Target: w.randomTarget(),
		Incarnation: w.incarnation, Remaining: time.Duration(w.rng.Int63n(int64(time.Second))),
		ConfigurationVersion: 3, ConfirmedAge: time.Duration(w.rng.Int63n(int64(6*time.Second))) - time.Second,
		Batch: w.rng.Intn(3) == 0,
	}}
	w.attempts = append(w.attempts, a)
	if w.rng.Intn(4) == 0 {
		return // Arrives late, maybe after its revocation.
	}
	w.deliver(a)
}

// redeliver delivers a late dispatch or a duplicate, within the windows that the
// limits promise.
func (w *simulation) redeliver() {
	a := w.recentAttempt()
	if a == nil || !a.arrivedAt.IsZero() && a.dispatch.Incarnation != w.incarnation {
		return
	}
	l := w.gate.limits
	if a.runs > 0 && !a.running && w.now.Sub(a.finishedAt) >= l.MinRetention {
		return
	}
	if a.reportedNotRun && w.now.Sub(a.reportedAt) >= min(l.TombstoneWindow, refusedGeneration) {
		return
	}
	w.deliver(a)
}

func (w *simulation) deliver(a *attempt) {
	if a.arrivedAt.IsZero() {
		a.arrivedAt = w.now
	}
	ad := w.gate.Admit(w.now, a.dispatch)
	w.collectDecisions()
	switch {
	case ad.Run:
		w.checkStarted(a, ad)
	case ad.Wait:
		mean := w.gate.targets[a.dispatch.Target].stats.mean
		if a.runs > 0 || a.waiting || a.reportedNotRun || ad.LatestStart.Add(mean).After(w.now.Add(a.dispatch.Remaining)) {
			w.fail("%v waits: %+v", a.dispatch.Key, a)
		}
		a.waiting, a.latestStart = true, ad.LatestStart
	default:
		w.checkRefused(a, ad.Verdict)
	}
}

func (w *simulation) finish() {
	i := slices.IndexFunc(w.attempts, func(a *attempt) bool { return a.running })
	if i < 0 {
		return
	}
	a := w.attempts[i]
	a.running, a.finishedAt = false, w.now
	v := Verdict{Outcome: apiv1.Outcome_OUTCOME_UNKNOWN}
	if w.rng.Intn(4) > 0 {
		v = Verdict{Outcome: apiv1.Outcome_OUTCOME_ANSWERED, Response: &apiv1.HttpResponse{Body: []byte(a.dispatch.Key.RequestID)}}
	}
	w.gate.Finish(w.now, a.dispatch.Key, v)
	w.collectDecisions()
}

// revoke asks about any attempt, however old, with an age that is unknown, or was
// true when the revocation was sent.
func (w *simulation) revoke() {
	if len(w.attempts) == 0 {
		return
	}
	a := w.attempts[w.rng.Intn(len(w.attempts))]
	if w.rng.Intn(2) == 0 {
		a = w.recentAttempt()
	}
	r := Revocation{Key: a.dispatch.Key, Incarnation: a.dispatch.Incarnation}
	if w.rng.Intn(3) > 0 {
		onItsWay := time.Duration(w.rng.Int63n(int64(w.gate.limits.RevokeMargin)))
		r.Age = max(w.now.Sub(a.sentAt)-onItsWay, 0)
	}
	f := w.gate.Revoke(w.now, r)
	w.collectDecisions()
	if f.Running != (a.running && a.dispatch.Incarnation == w.incarnation) {
		w.fail("%v: running is %v, told %v", a.dispatch.Key, a.running, f.Running)
	}
	if f.Verdict.Outcome == apiv1.Outcome_OUTCOME_NOT_RUN {
		if a.runs > 0 {
			w.fail("%v ran and its revocation was told that it was not run", a.dispatch.Key)
		}
		a.reportedNotRun, a.reportedAt = true, w.now
		return
	}
	w.checkKnown(a, f.Verdict)
}
