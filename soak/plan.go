package soak

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// action is something that is done to a process or a link at a time of the play.
type action struct {
	at time.Duration
	// kind tells what it is done to, host the number of that.
	kind   string
	host   int
	signal syscall.Signal
	// link is what becomes of a link between an agent and its worker.
	link linkMode
	// starts: it is started, and no signal is sent.
	starts bool
	// sick: the worker that starts fails whatever it runs.
	sick bool
	// wipes: the disk of a control host is emptied while its process is down.
	wipes bool
}

// actionWords are what can be done to a process.
var actionWords = map[string]action{
	"kill": {signal: syscall.SIGKILL}, "stop": {signal: syscall.SIGSTOP}, "continue": {signal: syscall.SIGCONT},
	"terminate": {signal: syscall.SIGTERM}, "start": {starts: true}, "start-sick": {starts: true, sick: true},
	"wipe": {wipes: true},
}

// String is a line of a plan: seconds, the kind of process, the number of its host, and a word.
func (a action) String() string {
	if a.kind == linkKind {
		return fmt.Sprintf("%8.3f %s %d %s", a.at.Seconds(), a.kind, a.host, a.link)
	}
	for word, w := range actionWords {
		if w.signal == a.signal && w.starts == a.starts && w.sick == a.sick && w.wipes == a.wipes {
			return fmt.Sprintf("%8.3f %s %d %s", a.at.Seconds(), a.kind, a.host, word)
		}
	}
	panic("an action without a word")
}

// The kinds of what a plan names.
const (
	workerKind  = "worker"
	agentKind   = "agent"
	controlKind = "control"
	entryKind   = "entry"
	linkKind    = "link"
)

// countOf is how many of a kind there are.
func (f fleet) countOf(kind string) int {
	return map[string]int{
		workerKind: f.workers, agentKind: f.workers, linkKind: f.workers, controlKind: f.controls, entryKind: f.entries,
	}[kind]
}

// parseWord reads what is done to a process or a link.
func parseWord(kind, word string) (action, bool) {
	if kind == linkKind {
		return action{kind: kind, link: linkMode(word)}, slices.Contains(linkModes, linkMode(word))
	}
	a, known := actionWords[word]
	a.kind = kind
	return a, known && (!a.wipes || kind == controlKind)
}

// parsePlan reads the lines of a plan, in the order of their times.
func parsePlan(text string, of fleet) ([]action, error) {
	var plan []action
	for line := range strings.Lines(text) {
		var seconds float64
		var kind, word string
		var host int
		if _, err := fmt.Sscan(line, &seconds, &kind, &host, &word); err != nil {
			return nil, errors.Wrapf(err, "plan, %q", line)
		}
		a, known := parseWord(kind, word)
		if !known || host < 0 || host >= of.countOf(kind) {
			return nil, errors.Newf("plan, %q: no such process or nothing that can be done to it", line)
		}
		a.host = host
		a.at = time.Duration(seconds * float64(time.Second)).Round(time.Millisecond)
		plan = append(plan, a)
	}
	slices.SortStableFunc(plan, func(a, b action) int { return cmp.Compare(a.at, b.at) })
	return plan, nil
}

// span is a range that a time is drawn from.
type span struct{ from, to time.Duration }

func (s span) draw(r *rand.Rand) time.Duration {
	return s.from + time.Duration(r.Int64N(int64(s.to-s.from)+1))
}

func drawFromOne(r *rand.Rand, of []span) time.Duration { return of[r.IntN(len(of))].draw(r) }

var (
	// workerDownTimes are how long a worker is away. Reports go every 0.5 s, the agent's lease is 6 s, the
	// leader's 12 s.
	workerDownTimes = []span{
		{0, 0}, {20 * time.Millisecond, 600 * time.Millisecond}, {400 * time.Millisecond, 600 * time.Millisecond},
		{300 * time.Millisecond, 3 * time.Second}, {time.Second, 8 * time.Second}, {5800 * time.Millisecond, 6400 * time.Millisecond},
		{11800 * time.Millisecond, 12400 * time.Millisecond}, {15 * time.Second, 15 * time.Second},
	}
	// workerUpTimes are how long a worker is back before it is killed again.
	workerUpTimes = []span{
		{20 * time.Millisecond, 600 * time.Millisecond}, {400 * time.Millisecond, 700 * time.Millisecond}, {600 * time.Millisecond, 3 * time.Second},
		{time.Second, 5 * time.Second}, {5800 * time.Millisecond, 6400 * time.Millisecond}, {11800 * time.Millisecond, 12400 * time.Millisecond},
	}
	// betweenFaultRounds are the times between two rounds of faults; the long ones have room for the judge.
	betweenFaultRounds = []span{
		{0, time.Second}, {2 * time.Second, 6 * time.Second}, {10 * time.Second, 12 * time.Second}, {10 * time.Second, 14 * time.Second},
	}
	agentPauseTimes   = span{200 * time.Millisecond, 3 * time.Second}
	agentDownTimes    = span{100 * time.Millisecond, 1500 * time.Millisecond}
	agentFaultOffsets = span{-600 * time.Millisecond, 1200 * time.Millisecond}
)

const (
	maxKills = 3
	// maxWorkersHit is how many workers one round hits at most.
	maxWorkersHit         = 3
	severalWorkersPercent = 30
	agentPausePercent     = 20
	agentKillPercent      = 15
	agentTermPercent      = 10
	sickPercent           = 25
)

// drawPlan draws the faults of workers' lives that begin within a time.
func drawPlan(r *rand.Rand, of fleet, within time.Duration, p Profile) []action {
	var plan []action
	for at := time.Duration(0); at < within; {
		hit := 1
		if r.IntN(100) < severalWorkersPercent {
			hit = 2 + r.IntN(maxWorkersHit-1)
		}
		end := at
		for _, host := range r.Perm(of.workers)[:hit] {
			actions := drawWorkerFaults(r, host, at+span{0, time.Second}.draw(r), p)
			plan = append(plan, actions...)
			for _, a := range actions {
				end = max(end, a.at)
			}
		}
		at = end + drawFromOne(r, betweenFaultRounds)
	}
	plan = append(plan, drawFrontFaults(r, of, within, p)...)
	plan = append(plan, drawLinkFaults(r, of.workers, within, p)...)
	plan = append(plan, drawOutages(r, of, within, p)...)
	slices.SortStableFunc(plan, func(a, b action) int { return cmp.Compare(a.at, b.at) })
	return plan
}

// drawWorkerFaults draws what becomes of one worker: up to three deaths in a row.
func drawWorkerFaults(r *rand.Rand, host int, at time.Duration, p Profile) []action {
	var plan []action
	for range 1 + r.IntN(maxKills) {
		plan = append(plan, action{at: at, kind: workerKind, host: host, signal: syscall.SIGKILL})
		if p.Agents {
			plan = append(plan, drawAgentFault(r, host, max(0, at+agentFaultOffsets.draw(r)))...)
		}
		at += drawFromOne(r, workerDownTimes)
		plan = append(plan, action{at: at, kind: workerKind, host: host, starts: true, sick: p.Sick && r.IntN(100) < sickPercent})
		at += drawFromOne(r, workerUpTimes)
	}
	return plan
}

// drawAgentFault draws what befalls the worker's agent beside a death, if anything.
func drawAgentFault(r *rand.Rand, host int, at time.Duration) []action {
	switch p := r.IntN(100); {
	case p < agentPausePercent:
		return []action{
			{at: at, kind: agentKind, host: host, signal: syscall.SIGSTOP},
			{at: at + agentPauseTimes.draw(r), kind: agentKind, host: host, signal: syscall.SIGCONT},
		}
	case p < agentPausePercent+agentKillPercent:
		return []action{
			{at: at, kind: agentKind, host: host, signal: syscall.SIGKILL},
			{at: at + agentDownTimes.draw(r), kind: agentKind, host: host, starts: true},
		}
	case p < agentPausePercent+agentKillPercent+agentTermPercent:
		return []action{
			{at: at, kind: agentKind, host: host, signal: syscall.SIGTERM},
			{at: at + terminationTimes.draw(r), kind: agentKind, host: host, starts: true},
		}
	}
	return nil
}
