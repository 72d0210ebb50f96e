package admission

import (
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
)

// UsefulFactor is the time for which the end of a job is of use to its caller, as a multiple of the
// job's objective.
const UsefulFactor = 3

// Mode selects how submissions are decided on.
type Mode string

// The modes.
const (
	// Off accepts every submission.
	Off Mode = "off"
	// Estimate refuses the jobs that by an estimate would end too late to be of use.
	Estimate Mode = "estimate"
	// Delay refuses a growing share of the jobs while the observed queueing delay stays above its
	// target.
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
	// ceaseAfter is the time without a refusal after which an account counts as not overloaded.
	ceaseAfter = time.Second
	// objectiveFraction is the fraction of a job's useful time that its objective is.
	objectiveFraction = 1.0 / UsefulFactor
	// firstLimit is the expected fraction of its useful time up to which a job is accepted. The rest is
	// for work that arrives later and still goes before the job: that of higher priorities and of
	// accounts with less in use.
	firstLimit = 0.85
	// overloadedLimit replaces firstLimit as the limit of the expected fraction of a job's useful time while
	// the account is overloaded. Jobs are first refused when they would end too late to be of use, and
	// from then on until they end within their objective again: at the same throughput, a long queue
	// only makes all accepted jobs late. favoredLimit applies to callers that return in their turn,
	// and to sizes that are refused more often than the others.
	overloadedLimit = 0.9 * objectiveFraction
	favoredLimit    = objectiveFraction
	// nothingAhead is the wait, as a fraction of a job's useful time, that does not count as a queue.
	// Such a short queue is always allowed, so that the fleet does not run out of work.
	nothingAhead = 0.06
	// queueAllowance is the fraction of its useful time that a job may wait in a queue under overload also
	// if its own work leaves none of its objective, up to maxOverloadedLimit in all. Otherwise a fleet
	// whose jobs take longer than their objective by themselves would have no queue and be idle between
	// them.
	queueAllowance     = 0.1
	maxOverloadedLimit = 0.85
	// minBalancingWait is the expected wait above which a job may be refused only to keep the shares of
	// all sizes equal: with a shorter queue, such refusals could leave processors idle.
	minBalancingWait = 100 * time.Millisecond
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

// New returns a controller without any observations. The seed determines how turns are spread.
func New(mode Mode, seed uint64) *Controller {
	return &Controller{
		mode: mode, random: rand.New(rand.NewPCG(seed, seed)), errors: map[uint32]*estimateErrors{},
		accounts: newAccountTable(), expected: newExpectedEnds(),
	}
}

// lane is the state of the jobs of one account and priority.
type lane struct {
	// errors are those of all accounts of the priority.
	errors        *estimateErrors
	overloadUntil time.Time
	sizes         sizeBalance
	delay         delayControl
	// above is, by size class, the time since which jobs have been expected to miss their objective.
	above map[int]time.Time
}

func (l *lane) overloaded(now time.Time) bool { return now.Before(l.overloadUntil) }

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

func (c *Controller) lane(a *account, priority uint32) *lane {
	priority = min(priority, maxPriorities-1)
	l := a.lanes[priority]
	if l == nil {
		l = &lane{errors: c.errorsOf(priority), sizes: newSizeBalance(), above: map[int]time.Time{}}
		a.lanes[priority] = l
	}
	return l
}

// verdict is the decision on a job before its turn is assigned.
type verdict struct {
	reason Reason
	// lack is the time in which the queue has to become shorter for a job like this to be accepted.
	lack time.Duration
	// wait and work are the parts of the estimate.
	estimate, wait, work time.Duration
	error                float64
	// full is set for a refusal that also holds for all other jobs like this one, and balancing for
	// one that only keeps the shares of all sizes equal.
	full, balancing bool
}

// Decide implements Policy.
func (c *Controller) Decide(r Request, b Backlog, now time.Time) Decision {
	if c.mode == Off || r.LongRunning || r.Scheduled || r.Useful <= 0 {
		return Decision{}
	}
	a := c.accounts.get(r.Account, now)
	l := c.lane(a, r.Priority)
	turn := a.turn(r.Job, now)
	early := turn != nil && now.Before(turn.due)
	if early && l.overloaded(now) && !a.retries.tryWithdraw() {
		a.refused++
		return Decision{Reason: RetryBudget, RetryAfter: turn.due.Sub(now)}
	}
	inTurn := turn != nil && !early
	v := c.judge(l, a, r, b, inTurn, now)
	d := Decision{Reason: v.reason, Estimate: v.estimate, Error: v.error, Full: v.full && v.lack >= minFullTime}
	switch {
	case v.reason == Accepted && !l.overloaded(now):
		l.sizes.reset()
	case !early:
		l.sizes.record(r.Work, v.reason != Accepted, now)
	}
	if v.reason == Accepted {
		a.accept(r.Job)
		c.accounts.recordReturn(turn != nil)
		c.expected.add(r, v, now)
		return d
	}
	if !v.balancing {
		l.overloadUntil = now.Add(ceaseAfter)
	}
	a.refused++
	if early {
		// The caller keeps its turn: returning early must not be of use.
		d.RetryAfter = turn.due.Sub(now)
		return d
	}
	d.RetryAfter = c.accounts.assignTurn(a, r, v.lack, b.Drain, c.random, now)
	return d
}

// minFullTime is the least time until a job like a refused one can be accepted that counts as a full
// queue. It covers the time for which entries refuse without asking.
const minFullTime = 500 * time.Millisecond

// withTurns adds to the work ahead of a newcomer the work of those callers of its account whose turn
// is now, in the proportion in which such callers return.
func (c *Controller) withTurns(ahead Work, a *account, inTurn bool, now time.Time) Work {
	if inTurn {
		return ahead
	}
	due := a.dueWork(now)
	ahead.CoreMs += int64(c.accounts.returning * float64(due.CoreMs))
	ahead.BackfillMs += int64(c.accounts.returning * float64(due.BackfillMs))
	return ahead
}

// judge decides on a job by the estimate of its end if there is one, else by the queueing delay.
func (c *Controller) judge(l *lane, a *account, r Request, b Backlog, inTurn bool, now time.Time) verdict {
	unclaimed, _, _ := expectedTimes(r, b)
	b.Ahead = c.withTurns(b.Ahead, a, inTurn, now)
	wait, work, known := expectedTimes(r, b)
	if c.mode == Delay || !b.Trusted || !known {
		return l.judgeDelay(r, b, inTurn, now)
	}
	if float64(unclaimed) <= nothingAhead*float64(r.Useful) {
		wait = unclaimed // processors must not stay idle for callers that may not return
	}
	return l.judgeEstimate(r, wait, work, inTurn, now)
}

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

func (l *lane) judgeEstimate(r Request, wait, work time.Duration, inTurn bool, now time.Time) verdict {
	factor := l.errors.factor(now)
	v := verdict{estimate: wait + work + l.errors.overhead, wait: wait, work: work, error: factor}
	useful := float64(r.Useful)
	waitFraction := float64(wait) * factor / useful
	fraction := float64(v.estimate) * factor / useful
	l.observeQueue(r, fraction, now)
	if l.overloaded(now) && wait > minBalancingWait && l.sizes.owesRefusal(r.Work, inTurn) {
		v.reason, v.balancing = TooLate, true
		return v
	}
	if float64(wait) <= nothingAhead*useful {
		// The job gets what an idle fleet can give, so that waiting would not help it.
		if work > r.Useful {
			v.reason, v.lack = TooLate, r.Useful
		}
		return v
	}
	limit := firstLimit
	if l.overloaded(now) {
		limit = l.sizes.limit(r.Work, inTurn)
		limit = max(limit, min(maxOverloadedLimit, fraction-waitFraction+queueAllowance))
	}
	if fraction > limit {
		v.reason, v.full = TooLate, true
		// The caller returns in its turn, and the account is overloaded by then.
		v.lack = scale(wait, min(1, max(0, fraction-favoredLimit)/waitFraction))
	}
	return v
}

// observeQueue begins the overload of an account whose jobs have been expected to miss their
// objective for as long as one of them is useful. A burst would be over by then.
func (l *lane) observeQueue(r Request, fraction float64, now time.Time) {
	class := SizeClass(r.Work)
	since := l.above[class]
	switch {
	case fraction <= objectiveFraction:
		delete(l.above, class)
	case since.IsZero():
		l.above[class] = now
	case now.Sub(since) > r.Useful:
		l.overloadUntil = now.Add(ceaseAfter)
	}
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

// Account returns how many submissions of an account were refused, and the time until the next turn
// of a refused caller; 0 if there is none.
func (c *Controller) Account(name string, now time.Time) (refused uint64, nextTurn time.Duration) {
	return c.accounts.read(name, now)
}
