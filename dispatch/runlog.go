package dispatch

import (
	"fmt"
	"time"

	"go.uber.org/zap"

	"github.com/cairnlift/cairnlift/jobqueue"
	"github.com/cairnlift/cairnlift/logging/event"
)

const (
	// runLogInterval is the time that starts and ends are gathered for one line.
	runLogInterval = time.Second
	// runLogMost is the number of starts and ends that one line names at most, so that
	// a line stays below some 10 kB.
	runLogMost = 200
)

// runLog gathers what routinely happens to runs, starts and ends without a failure,
// into one line an interval, by worker.
//
// What goes wrong without it: a busy leader starts and ends 60 runs a second, and two
// lines for each were 94 of 100 bytes that it wrote, 13 kB a second. Whoever has only
// the last 95 kB of a process then sees seconds of starts, and not the line that says
// when leadership, a worker or the configuration changed.
type runLog struct {
	logger  *zap.Logger
	began   time.Time
	count   int
	started map[string][]gatheredRun
	ended   map[string][]gatheredRun
}

// gatheredRun is a run and when it started or ended.
type gatheredRun struct {
	id jobqueue.RunID
	at time.Time
}

func newRunLog(logger *zap.Logger) *runLog {
	return &runLog{logger: logger, started: map[string][]gatheredRun{}, ended: map[string][]gatheredRun{}}
}

func (g *runLog) start(term uint64, worker string, id jobqueue.RunID, now time.Time) {
	g.started[worker] = append(g.started[worker], gatheredRun{id, now})
	g.gathered(term, now)
}

func (g *runLog) end(term uint64, worker string, id jobqueue.RunID, now time.Time) {
	g.ended[worker] = append(g.ended[worker], gatheredRun{id, now})
	g.gathered(term, now)
}

func (g *runLog) gathered(term uint64, now time.Time) {
	if g.count == 0 {
		g.began = now
	}
	g.count++
	if g.count >= runLogMost {
		g.write(term, now)
	}
}

// tick writes what is due.
func (g *runLog) tick(term uint64, now time.Time) {
	if g.count > 0 && now.Sub(g.began) >= runLogInterval {
		g.write(term, now)
	}
}

// write writes what was gathered.
func (g *runLog) write(term uint64, now time.Time) {
	if g.count == 0 {
		return
	}
	event.RunsRoutine.Write(g.logger, event.Term(term), event.Started(named(g.started, now)), event.Ended(named(g.ended, now)))
	clear(g.started)
	clear(g.ended)
	g.count = 0
}

// named writes each run as "TASK RUN AGE", the age in milliseconds.
func named(runs map[string][]gatheredRun, now time.Time) map[string][]string {
	lists := make(map[string][]string, len(runs))
	for worker, list := range runs {
		for _, r := range list {
			lists[worker] = append(lists[worker], fmt.Sprintf("%s %d %d", r.id.Task, r.id.Number, now.Sub(r.at).Milliseconds()))
		}
	}
	return lists
}
