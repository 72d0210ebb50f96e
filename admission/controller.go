package admission

import (
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
)

// Mode selects how submissions are decided on.
type Mode string

// The modes.
const (
	// Off accepts every submission.
	Off Mode = "off"
	// Estimate refuses the jobs that by an estimate of the work ahead of them would end after the time
	// that their queue allows.
	Estimate Mode = "estimate"
	// Delay refuses the jobs that would end after that time if they waited for as long as the oldest
	// waiting step has.
	Delay Mode = "delay"
)

// Modes returns the names of all modes, the default first.
func Modes() []string { return []string{string(Off), string(Estimate), string(Delay)} }

// ParseMode returns the mode of a name; the empty name means Off.
func ParseMode(name string) (Mode, error) {
	switch m := Mode(name); m {
	case "":
		return Off, nil
	case Off, Estimate, Delay:
		return m, nil
	}
	return Off, errors.Newf("%q is not a mode of admission: off, estimate or delay", name)
}

const (
	// minRetryAfter is the least time until a refused caller may return: Retry-After has whole seconds.
	minRetryAfter = time.Second
	// minQueue is the expected wait up to which all jobs are accepted. It covers the time until a
	// processor that becomes free gets its next task: with a shorter queue processors would idle.
	minQueue = 200 * time.Millisecond
	// minFullTime is the least time until a job like a refused one can be accepted that counts as a full
	// queue. It covers the time for which entries refuse without asking.
	minFullTime = 500 * time.Millisecond
	// maxPriorities bounds the number of priorities with a state of their own.
	maxPriorities = 64
	// maxExpected bounds the accepted jobs whose ends are awaited; the oldest are dropped first.
	maxExpected = 1 << 16
)

// Controller implements Policy.
type Controller struct {
	mode   Mode
	random *rand.Rand
	// errors are the errors of estimates by priority.
	errors   map[uint32]*estimateErrors
	accounts *accountTable
	expected expectedEnds
}

var _ Policy = (*Controller)(nil)

// New returns a controller without any observations. The seed determines how returns are spread.
func New(mode Mode, seed uint64) *Controller {
	return &Controller{
		mode: mode, random: rand.New(rand.NewPCG(seed, seed)), errors: map[uint32]*estimateErrors{},
		accounts: newAccountTable(), expected: newExpectedEnds(),
	}
}

// errorsOf returns the errors of the estimates of a priority.
func (c *Controller) errorsOf(priority uint32) *estimateErrors {
	priority = min(priority, maxPriorities-1) // those beyond the bound share one state
	e := c.errors[priority]
	if e == nil {
		e = newEstimateErrors()
		c.errors[priority] = e
	}
	return e
}

// verdict is what follows for a job from the work ahead of it and from its own.
type verdict struct {
	reason Reason
	// wait or starts, whichever is longer, and work are the parts of the estimate, and error is the factor by
	// which it may be exceeded. wait follows from the work ahead, and starts from the ends of running tasks.
	estimate, wait, starts, work time.Duration
	error                        float64
	// meanError is the factor by which it is exceeded on the mean.
	meanError float64
	// observed is set if wait is the observed queueing delay.
	observed bool
	// lack is the time in which the wait has to become shorter for a job like this to be accepted.
	lack time.Duration
}

// Decide implements Policy. Whether a job is accepted depends on the work ahead of it, its own work and
// the time that its queue allows, and not on earlier submissions of it. Only a caller that returns before
// it was told to does not go before callers that were told earlier times.
func (c *Controller) Decide(r Request, b Backlog, now time.Time) Decision {
	if c.mode == Off || r.LongRunning || r.Scheduled || r.Allowed <= 0 {
		return Decision{}
	}
	a := c.accounts.get(r.Account, now)
	v := c.estimate(r, b, now)
	standing := a.hasStandingQueue(r.Priority, v.wait, v.acceptableWait(r.Allowed), now)
	v.decide(r, standing)
	told, early := a.toldTime(r.Job, now)
	if early && v.reason == Accepted && v.delay() > 0 {
		b.Ahead = b.Ahead.plus(a.workBefore(r.Job))
		behind := c.estimate(r, b, now)
		if behind.decide(r, standing); behind.reason != Accepted {
			v.reason = EarlyReturn
		}
	}
	d := Decision{Reason: v.reason, Estimate: v.estimate, Error: v.error, Full: v.lack >= minFullTime}
	if v.reason == Accepted {
		a.forget(r.Job)
		c.expected.add(r, v, now)
		return d
	}
	a.refused++
	if early {
		d.RetryAfter = told.Sub(now)
		return d
	}
	d.RetryAfter = c.accounts.assignReturn(a, r, v.lack, b.Drain, c.random, now)
	return d
}

// estimate returns the verdict on a job without its reason: from the work ahead if the fleet's rate is
// known, else from the queueing delay.
func (c *Controller) estimate(r Request, b Backlog, now time.Time) verdict {
	wait, work, known := expectedTimes(r, b)
	if c.mode == Delay {
		return verdict{estimate: b.Delay + r.Chain, wait: b.Delay, work: r.Chain, error: 1, meanError: 1, observed: true}
	}
	starts, _ := b.startsIn(r)
	if !b.Trusted || !known {
		return verdict{
			estimate: max(b.Delay, starts) + r.Chain, wait: b.Delay, starts: starts, work: r.Chain, error: 1, meanError: 1, observed: true,
		}
	}
	e := c.errorsOf(r.Priority)
	return verdict{
		estimate: max(wait, starts) + work + e.overhead, wait: wait, starts: starts, work: work,
		error: e.factor(now), meanError: e.meanFactor(now),
	}
}

// decide sets the reason, and what the wait lacks for an acceptance. A queue that may be that of a short
// burst, and not a standing one, may take as long as a return. An observed delay shows by itself that the
// queue has lasted.
func (v *verdict) decide(r Request, standing bool) {
	acceptable, startable := v.acceptableWait(r.Allowed), v.acceptableStart(r.Allowed)
	if !standing && !v.observed {
		acceptable, startable = max(acceptable, v.timeOfReturn()), max(startable, v.timeOfReturn())
	}
	v.lack = max(v.wait-acceptable, v.starts-startable)
	if v.lack <= 0 {
		v.lack = 0
		return
	}
	v.reason = TooLate
	if v.observed {
		v.reason = Delayed
	}
}

// acceptableWait returns the longest wait in a standing queue with which a job is accepted: one that
// leaves it time to end as its queue allows. A job that takes longer than that by itself gains from a
// return only if the wait is longer than that takes.
func (v verdict) acceptableWait(allowed time.Duration) time.Duration {
	own := v.estimate - v.delay()
	if own > allowed {
		return v.timeOfReturn()
	}
	return max(minQueue, scale(allowed, 1/v.error)-own)
}

// delay returns the part of the estimate before the job's own work.
func (v verdict) delay() time.Duration { return max(v.wait, v.starts) }

// acceptableStart returns the latest start with which a job is accepted. The ends of running tasks are
// known better than the work ahead is, so that no error counts.
func (v verdict) acceptableStart(allowed time.Duration) time.Duration {
	own := v.estimate - v.delay()
	if own > allowed {
		return v.timeOfReturn()
	}
	return max(minQueue, allowed-own)
}

// timeOfReturn returns the longest wait that on the mean ends no later than a return can.
func (v verdict) timeOfReturn() time.Duration { return scale(minRetryAfter, 1/v.meanError) }

// expectedTimes returns how long a job is expected to wait for the work ahead of it, and how long its
// own work takes after that. known is false if the fleet's rate for a kind of the job's work is not
// known.
func expectedTimes(r Request, b Backlog) (wait, work time.Duration, known bool) {
	work, known = r.Chain, true
	for _, kind := range []struct{ own, ahead, drain int64 }{
		{r.Work.CoreMs, b.Ahead.CoreMs, b.Drain.CoreMs},
		{r.Work.BackfillMs, b.Ahead.BackfillMs, b.Drain.BackfillMs},
	} {
		if kind.own <= 0 {
			continue
		}
		if kind.drain <= 0 {
			return 0, 0, false
		}
		wait = max(wait, timeFor(kind.ahead, kind.drain))
		work = max(work, timeFor(kind.own, kind.drain))
	}
	return wait, work, known
}

// maxTime bounds computed times, so that they do not overflow.
const maxTime = time.Hour

// timeFor returns how long an amount of work takes at a rate per second.
func timeFor(amount, perSecond int64) time.Duration {
	if perSecond <= 0 {
		return maxTime
	}
	return scale(time.Second, float64(max(0, amount))/float64(perSecond))
}

// scale returns d times factor, at most maxTime.
func scale(d time.Duration, factor float64) time.Duration {
	if f := float64(d) * factor; f < float64(maxTime) {
		return time.Duration(f)
	}
	return maxTime
}

// RecordEnd implements Policy.
func (c *Controller) RecordEnd(job string, now time.Time) {
	e, found := c.expected.remove(job)
	if !found {
		return
	}
	c.errorsOf(e.priority).record(e, now.Sub(e.at), now)
}

// Forget drops what is known of an accepted job whose end says nothing about estimates: a job that
// failed, was canceled or was not accepted by the log after all.
func (c *Controller) Forget(job string) { c.expected.remove(job) }

// Expected returns how long an accepted job was expected to take, and since when; false if there was
// no estimate.
func (c *Controller) Expected(job string) (estimate time.Duration, since time.Time, ok bool) {
	e, found := c.expected.byJob[job]
	if !found {
		return 0, time.Time{}, false
	}
	return e.estimate, e.at, true
}

// Account returns how many submissions of an account were refused, and the time until the next return
// of a refused caller; 0 if there is none.
func (c *Controller) Account(name string, now time.Time) (refused uint64, nextReturn time.Duration) {
	return c.accounts.read(name, now)
}
