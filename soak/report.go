package soak

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// minDetailedGap is the shortest gap that is told with what the leader wrote of it.
const minDetailedGap = 6500 * time.Millisecond

const clockFormat = "15:04:05.000"

// text is the report as a table, the longest gaps first.
func (rep *report) text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%d tasks that last, %d runs, %d lives; times without a run: %s\n",
		rep.tasks, len(rep.rec.runs), len(rep.rec.incarnations), rep.quantiles())
	for _, t := range rep.overlaps {
		fmt.Fprintf(&b, "TWICE %s\n", t)
	}
	for _, p := range rep.violations {
		fmt.Fprintf(&b, "PROMISE %s\n", p)
	}
	for _, g := range rep.gaps {
		if g.length() < minShownGap {
			continue
		}
		fmt.Fprintln(&b, rep.gapLine(g))
		if g.length() >= minDetailedGap {
			fmt.Fprintf(&b, "      leader: %s\n", leaderEvents(rep.controlLog, g.gap))
		}
	}
	return b.String()
}

// quantiles sums the lengths of all gaps after a first run up.
func (rep *report) quantiles() string {
	var lengths []time.Duration
	for _, g := range rep.gaps {
		if g.previous != nil {
			lengths = append(lengths, g.length())
		}
	}
	if len(lengths) == 0 {
		return "none"
	}
	slices.Sort(lengths)
	at := func(share float64) time.Duration {
		return lengths[int(share*float64(len(lengths)-1))].Round(time.Millisecond)
	}
	return fmt.Sprintf("%d, median %v, 90%% %v, longest %v", len(lengths), at(0.5), at(0.9), at(1))
}

func (rep *report) gapLine(g checkedGap) string {
	mark := "      "
	if g.violated {
		mark = "BROKEN"
	}
	after := "first run"
	if g.previous != nil {
		l := g.previous.incarnation
		after = fmt.Sprintf("run %d on %s of %s began %s %s", g.previous.number, l.worker, l.start.Format(clockFormat),
			g.previous.start.Format(clockFormat), g.previous.outcome)
	}
	next := "none"
	if g.next != nil {
		next = fmt.Sprintf("run %d on %s", g.next.number, g.next.incarnation.worker)
	}
	return fmt.Sprintf("%s %6.3fs %s..%s calm %.1fs room %d %s cpu %d spread %d | after %s | next %s | %s", mark, g.length().Seconds(),
		g.from.Format(clockFormat), g.to.Format(clockFormat), g.faultFree.Seconds(), g.freeCapacity, g.task, g.step.CPU, g.step.MaxPerWorker, after, next,
		rep.faultsNear(g.gap))
}

// faultsShownBefore is how long before a gap faults are shown.
const faultsShownBefore = 2 * time.Second

// faultsNear lists what befell processes shortly before a gap and in it, by seconds since its begin.
func (rep *report) faultsNear(g gap) string {
	var near []string
	for _, f := range rep.rec.faults {
		if f.at().After(g.from.Add(-faultsShownBefore)) && f.at().Before(g.to) && f.What != "ended" {
			near = append(near, fmt.Sprintf("%+.2f %s %s", f.at().Sub(g.from).Seconds(), f.Process, f.What))
		}
	}
	return strings.Join(near, ", ")
}

// excerpts are the lines of agents and leader about the long gaps.
func (rep *report) excerpts(folder string) (string, error) {
	var b strings.Builder
	for _, g := range rep.gaps {
		if g.length() < minDetailedGap || g.previous == nil {
			continue
		}
		agent, err := readLogs(folder, "agent-"+strings.TrimPrefix(g.previous.incarnation.worker, "w")+".log")
		if err != nil {
			return "", err
		}
		fmt.Fprintf(&b, "%s\n      leader: %s\n      agent:\n%s\n", rep.gapLine(g), leaderEvents(rep.controlLog, g.gap), agentLines(agent, g.gap))
	}
	return b.String(), nil
}
