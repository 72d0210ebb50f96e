package admission

import (
	"math"
	"time"
)

const (
	// delayInterval is the time for which the queueing delay must exceed its target before jobs are
	// refused, and the time to the first increase of the refused share.
	delayInterval = 500 * time.Millisecond
	// delayStep is the increase of the refused share. The increases follow each other at
	// delayInterval divided by the root of their number, as CoDel's drops do.
	delayStep = 0.1
	// delayRelease is the fraction of the target below which the refused share is reduced. Between
	// the two it stays, so that the share does not alternate around the target.
	delayRelease = 0.5
	// delayKept is the fraction of the refused share that remains after each interval below the
	// release.
	delayKept = 0.5
	// targetWeight is the weight of the newest job in the mean target.
	targetWeight = 0.05
	// targetShare is the part of the time that the objective leaves beside a job's own chain that the
	// queueing delay may take.
	targetShare = 0.8
	maxShare    = 0.98
	// excessRange is the excess of the delay over its target, as a multiple of the target, at which all
	// jobs are refused.
	excessRange = 2
)

// delayControl refuses a share of the jobs of an account and priority by the observed queueing delay.
type delayControl struct {
	// target is the mean of the delays with which the submitted jobs still meet their objectives.
	target time.Duration
	// above is the time since which the delay has exceeded the target without a break.
	above time.Time
	// share is the share of jobs to refuse, changedAt when it was last changed, and increases the
	// number of increases since the delay was last below its target.
	share     float64
	changedAt time.Time
	increases int
	// excess is the share of jobs to refuse because the delay exceeds its target by far: the share that is
	// increased in steps comes too late for an overload of several times the capacity.
	excess float64
	// owed accumulates the share of each job by size class; one job is refused per whole number. With
	// one sum for all sizes, jobs of two sizes that alternate would all be refused or all accepted.
	owed map[int]float64
}

// delayTarget returns the queueing delay with which a job still meets its objective.
func delayTarget(r Request) time.Duration {
	objective := r.Useful / UsefulFactor
	return max(scale(objective-r.Chain, targetShare), objective/4)
}

func (c *delayControl) observe(target, delay time.Duration, now time.Time) {
	if c.target == 0 {
		c.target = target
	}
	c.target += time.Duration(targetWeight * float64(target-c.target))
	c.excess = 0
	switch {
	case delay > c.target:
		if c.above.IsZero() {
			c.above = now
		}
		c.increase(delay, now)
	case float64(delay) < delayRelease*float64(c.target):
		c.above, c.increases = time.Time{}, 0
		c.reduce(now)
	default:
		c.above, c.increases = time.Time{}, 0
	}
}

func (c *delayControl) increase(delay time.Duration, now time.Time) {
	if now.Sub(c.above) < delayInterval {
		return
	}
	c.excess = min(1, (float64(delay)/float64(c.target)-1)/excessRange)
	interval := time.Duration(float64(delayInterval) / math.Sqrt(float64(c.increases+1)))
	if now.Sub(c.changedAt) >= interval {
		c.share = min(maxShare, c.share+delayStep)
		c.increases++
		c.changedAt = now
	}
}

func (c *delayControl) reduce(now time.Time) {
	if now.Sub(c.changedAt) < delayInterval {
		return
	}
	c.changedAt = now
	if c.share *= delayKept; c.share < delayStep/2 {
		c.share = 0
	}
}

// refuse reports whether the next job is to be refused.
func (c *delayControl) refuse(w Work) bool {
	class := SizeClass(w)
	if c.owed == nil {
		c.owed = map[int]float64{}
	}
	share := max(c.share, c.excess)
	owed := c.owed[class] + share
	refuse := owed >= 1 && share > 0
	if refuse {
		owed--
	}
	c.owed[class] = owed
	return refuse
}

func (l *lane) judgeDelay(r Request, b Backlog, inTurn bool, now time.Time) verdict {
	c := &l.delay
	c.observe(delayTarget(r), b.Delay, now)
	v := verdict{}
	switch hard := max(r.Useful-r.Chain, 0); {
	case b.Delay > hard:
		v.reason, v.full, v.lack = Delayed, true, b.Delay-hard
	case inTurn && b.Delay <= 2*c.target:
	case c.refuse(r.Work):
		v.reason, v.lack = Delayed, max(0, b.Delay-c.target)
	}
	return v
}
