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

// action is an action on a process, disk or link at a time of the soak run.
type action struct {
	at time.Duration
	// kind is the kind of process or link, host its number.
	kind   string
	host   int
	signal syscall.Signal
	// link is the new mode of a link between an agent and its worker.
	link linkMode
	// starts is whether the process is started; if so, no signal is sent.
	starts bool
	// sick is whether the worker that is started fails every task that it runs.
	sick bool
	// wipes is whether the disk of a control host is emptied while its process is down.
	wipes bool
}

// actionWords are the words of the actions on a process or its disk in plan files.
var actionWords = map[string]action{
	"kill": {signal: syscall.SIGKILL}, "stop": {signal: syscall.SIGSTOP}, "continue": {signal: syscall.SIGCONT},
	"terminate": {signal: syscall.SIGTERM}, "start": {starts: true}, "start-sick": {starts: true, sick: true},
	"wipe": {wipes: true},
}

// String returns the action as a line of a plan file: the time in seconds, the kind of process, the number
// of its host, and a word.
func (a action) String() string {
	if a.kind == linkKind {
		return fmt.Sprintf("%8.3f %s %d %s", a.at.Seconds(), a.kind, a.host, a.link)
	}
	for word, w := range actionWords {
		if w.signal == a.signal && w.starts == a.starts && w.sick == a.sick && w.wipes == a.wipes {
			return fmt.Sprintf("%8.3f %s %d %s", a.at.Seconds(), a.kind, a.host, word)
		}
	}
	panic("action has no word in plan files")
}

// The kinds of processes and links in plan files.
const (
	workerKind  = "worker"
	agentKind   = "agent"
	controlKind = "control"
	entryKind   = "entry"
	linkKind    = "link"
)

// countOf returns the number of processes or links of a kind.
func (f fleet) countOf(kind string) int {
	return map[string]int{
		workerKind: f.workers, agentKind: f.workers, linkKind: f.workers, controlKind: f.controls, entryKind: f.entries,
	}[kind]
}

// parseWord parses the action on a process or link.
func parseWord(kind, word string) (action, bool) {
	if kind == linkKind {
		return action{kind: kind, link: linkMode(word)}, slices.Contains(linkModes, linkMode(word))
	}
	a, known := actionWords[word]
	a.kind = kind
	return a, known && (!a.wipes || kind == controlKind)
}

// parsePlan parses the text of a plan, and returns its actions in order of time.
func parsePlan(text string, size fleet) ([]action, error) {
	var plan []action
	for line := range strings.Lines(text) {
		var seconds float64
		var kind, word string
		var host int
		if _, err := fmt.Sscan(line, &seconds, &kind, &host, &word); err != nil {
			return nil, errors.Wrapf(err, "plan line %q", line)
		}
		a, known := parseWord(kind, word)
		if !known || host < 0 || host >= size.countOf(kind) {
			return nil, errors.Newf("plan line %q: unknown process, link or action", line)
		}
		a.host = host
		a.at = time.Duration(seconds * float64(time.Second)).Round(time.Millisecond)
		plan = append(plan, a)
	}
	slices.SortStableFunc(plan, func(a, b action) int { return cmp.Compare(a.at, b.at) })
	return plan, nil
}

// span is a range from which a duration is drawn.
type span struct{ from, to time.Duration }

func (s span) draw(r *rand.Rand) time.Duration {
	return s.from + time.Duration(r.Int64N(int64(s.to-s.from)+1))
}

// drawFromOne chooses one of several ranges, and draws a duration from it.
func drawFromOne(r *rand.Rand, spans []span) time.Duration { return spans[r.IntN(len(spans))].draw(r) }

var (
	// workerDownTimes are how long a killed worker is down. Workers report every 0.5 s, the agent's lease lasts
	// 6 s and the leader's 12 s.
	workerDownTimes = []span{
		{0, 0}, {20 * time.Millisecond, 600 * time.Millisecond}, {400 * time.Millisecond, 600 * time.Millisecond},
		{300 * time.Millisecond, 3 * time.Second}, {time.Second, 8 * time.Second}, {5800 * time.Millisecond, 6400 * time.Millisecond},
		{11800 * time.Millisecond, 12400 * time.Millisecond}, {15 * time.Second, 15 * time.Second},
	}
	// workerUpTimes are the times from the start of a worker until it is killed again.
	workerUpTimes = []span{
		{20 * time.Millisecond, 600 * time.Millisecond}, {400 * time.Millisecond, 700 * time.Millisecond}, {600 * time.Millisecond, 3 * time.Second},
		{time.Second, 5 * time.Second}, {5800 * time.Millisecond, 6400 * time.Millisecond}, {11800 * time.Millisecond, 12400 * time.Millisecond},
	}
	// betweenFaultRounds are the times from the end of one round of faults to the start of the next. The long
	// ones leave enough fault-free time for the checker to find violations.
	betweenFaultRounds = []span{
		{0, time.Second}, {2 * time.Second, 6 * time.Second}, {10 * time.Second, 12 * time.Second}, {10 * time.Second, 14 * time.Second},
	}
	agentPauseTimes   = span{200 * time.Millisecond, 3 * time.Second}
	agentDownTimes    = span{100 * time.Millisecond, 1500 * time.Millisecond}
	agentFaultOffsets = span{-600 * time.Millisecond, 1200 * time.Millisecond}
)

const (
	// maxKills is the largest number of kills of one worker in a round.
	maxKills = 3
	// maxWorkersHit is the largest number of workers that one round affects.
	maxWorkersHit         = 3
	severalWorkersPercent = 30
	agentPausePercent     = 20
	agentKillPercent      = 15
	agentTermPercent      = 10
	sickPercent           = 25
)

// drawPlan draws the faults of a soak run that begin within a time.
func drawPlan(r *rand.Rand, size fleet, within time.Duration, p Profile) []action {
	var plan []action
	for at := time.Duration(0); at < within; {
		hit := 1
		if r.IntN(100) < severalWorkersPercent {
			hit = 2 + r.IntN(maxWorkersHit-1)
		}
		end := at
		for _, host := range r.Perm(size.workers)[:hit] {
			actions := drawWorkerFaults(r, host, at+span{0, time.Second}.draw(r), p)
			plan = append(plan, actions...)
			for _, a := range actions {
				end = max(end, a.at)
			}
		}
		at = end + drawFromOne(r, betweenFaultRounds)
	}
	plan = append(plan, drawFrontFaults(r, size, within, p)...)
	plan = append(plan, drawLinkFaults(r, size.workers, within, p)...)
	plan = append(plan, drawOutages(r, size, within, p)...)
	slices.SortStableFunc(plan, func(a, b action) int { return cmp.Compare(a.at, b.at) })
	return plan
}

// drawWorkerFaults draws the faults of one worker in a round: up to maxKills kills, each followed by a start.
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

// drawAgentFault draws the fault of the worker's agent around a kill of the worker, if any.
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
