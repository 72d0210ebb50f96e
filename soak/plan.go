package soak

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"syscall"
	"time"
)

// action is something that is done to a process of a host at a time of the play.
type action struct {
	at     time.Duration
	host   int
	agent  bool
	signal syscall.Signal
	// starts: it is started, and no signal is sent.
	starts bool
	// sick: the worker that starts fails whatever it runs.
	sick bool
}

func (a action) String() string {
	name, what := workerName(a.host), a.signal.String()
	if a.agent {
		name = "agent of " + name
	}
	if a.starts {
		what = "start"
	}
	if a.sick {
		what = "start, sick"
	}
	return fmt.Sprintf("%8.3f %s %s", a.at.Seconds(), name, what)
}

// span is a range that a time is drawn from.
type span struct{ from, to time.Duration }

func (s span) draw(r *rand.Rand) time.Duration {
	return s.from + time.Duration(r.Int64N(int64(s.to-s.from)+1))
}

func drawOne(r *rand.Rand, of []span) time.Duration { return of[r.IntN(len(of))].draw(r) }

var (
	// awayTimes are how long a worker is away. Reports go every 0.5 s, the agent's lease is 6 s, the
	// leader's 12 s.
	awayTimes = []span{
		{0, 0}, {20 * time.Millisecond, 600 * time.Millisecond}, {400 * time.Millisecond, 600 * time.Millisecond},
		{300 * time.Millisecond, 3 * time.Second}, {time.Second, 8 * time.Second}, {5800 * time.Millisecond, 6400 * time.Millisecond},
		{11800 * time.Millisecond, 12400 * time.Millisecond}, {15 * time.Second, 15 * time.Second},
	}
	// lifeTimes are how long a worker is back before it is killed again.
	lifeTimes = []span{
		{20 * time.Millisecond, 600 * time.Millisecond}, {400 * time.Millisecond, 700 * time.Millisecond}, {600 * time.Millisecond, 3 * time.Second},
		{time.Second, 5 * time.Second}, {5800 * time.Millisecond, 6400 * time.Millisecond}, {11800 * time.Millisecond, 12400 * time.Millisecond},
	}
	// pauses are the times between two rounds of faults; the long ones have room for the judge.
	pauses = []span{
		{0, time.Second}, {2 * time.Second, 6 * time.Second}, {10 * time.Second, 12 * time.Second}, {10 * time.Second, 14 * time.Second},
	}
	agentPause    = span{200 * time.Millisecond, 3 * time.Second}
	agentAway     = span{100 * time.Millisecond, 1500 * time.Millisecond}
	aroundTheKill = span{-600 * time.Millisecond, 1200 * time.Millisecond}
)

const (
	maxKills = 3
	// maxHit is how many workers one round hits at most.
	maxHit            = 3
	severalHitPercent = 30
	agentPausePercent = 20
	agentKillPercent  = 15
	sickPercent       = 25
)

// drawPlan draws the faults of workers' lives that begin within a time.
func drawPlan(r *rand.Rand, workers int, within time.Duration, p Profile) []action {
	var plan []action
	for at := time.Duration(0); at < within; {
		hit := 1
		if r.IntN(100) < severalHitPercent {
			hit = 2 + r.IntN(maxHit-1)
		}
		end := at
		for _, host := range r.Perm(workers)[:hit] {
			actions := drawLives(r, host, at+span{0, time.Second}.draw(r), p)
			plan = append(plan, actions...)
			for _, a := range actions {
				end = max(end, a.at)
			}
		}
		at = end + drawOne(r, pauses)
	}
	slices.SortStableFunc(plan, func(a, b action) int { return cmp.Compare(a.at, b.at) })
	return plan
}

// drawLives draws what becomes of one worker: up to three deaths in a row.
func drawLives(r *rand.Rand, host int, at time.Duration, p Profile) []action {
	var plan []action
	for range 1 + r.IntN(maxKills) {
		plan = append(plan, action{at: at, host: host, signal: syscall.SIGKILL})
		if p.Agents {
			plan = append(plan, drawAgentFault(r, host, max(0, at+aroundTheKill.draw(r)))...)
		}
		at += drawOne(r, awayTimes)
		plan = append(plan, action{at: at, host: host, starts: true, sick: p.Sick && r.IntN(100) < sickPercent})
		at += drawOne(r, lifeTimes)
	}
	return plan
}

// drawAgentFault draws what befalls the worker's agent beside a death, if anything.
func drawAgentFault(r *rand.Rand, host int, at time.Duration) []action {
	switch p := r.IntN(100); {
	case p < agentPausePercent:
		return []action{
			{at: at, host: host, agent: true, signal: syscall.SIGSTOP},
			{at: at + agentPause.draw(r), host: host, agent: true, signal: syscall.SIGCONT},
		}
	case p < agentPausePercent+agentKillPercent:
		return []action{
			{at: at, host: host, agent: true, signal: syscall.SIGKILL},
			{at: at + agentAway.draw(r), host: host, agent: true, starts: true},
		}
	}
	return nil
}
