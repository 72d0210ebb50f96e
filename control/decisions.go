package control

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/cairnlift/cairnlift/logging/event"
	"github.com/cairnlift/cairnlift/place"
)

// keptDecisions is how many planning decisions are kept for operators.
const keptDecisions = 1024

// Decided is a planning decision and when it was made.
type Decided struct {
	At time.Time
	place.Decision
}

// decisionRing logs planning decisions and keeps the last ones.
type decisionRing struct {
	logger *zap.Logger
	mu     sync.Mutex
	ring   []Decided
	next   int
	// waiting holds what the last round said about each task that stays queued: a
	// task that waits is logged when the reason changes, not in each round.
	waiting map[string]Decided
}

func (d *decisionRing) add(at time.Time, decisions []place.Decision) {
	d.mu.Lock()
	defer d.mu.Unlock()
	waiting := make(map[string]Decided, len(d.waiting))
	for _, dec := range decisions {
		if dec.Worker == "" {
			waiting[dec.Task] = Decided{At: at, Decision: dec}
			if last, known := d.waiting[dec.Task]; known && last.Reason == dec.Reason {
				continue
			}
		}
		d.keep(Decided{At: at, Decision: dec})
		d.log(dec)
	}
	d.waiting = waiting
}

// of returns the kept decisions on some tasks, oldest first, and last what the
// newest round said of those that wait. The kept ones alone would tell an operator
// why a task waited at first: the same reason sums up refusals that change.
func (d *decisionRing) of(tasks map[string]bool) []Decided {
	var list []Decided
	for _, dec := range d.list() {
		if tasks[dec.Task] {
			list = append(list, dec)
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, task := range sortedKeys(d.waiting) {
		if tasks[task] {
			list = append(list, d.waiting[task])
		}
	}
	return list
}

func (d *decisionRing) keep(dec Decided) {
	if len(d.ring) < keptDecisions {
		d.ring = append(d.ring, dec)
		return
	}
	d.ring[d.next] = dec
	d.next = (d.next + 1) % keptDecisions
}

func (d *decisionRing) log(dec place.Decision) {
	kind := event.TaskPlaced
	if dec.Worker == "" {
		kind = event.TaskWaiting
	}
	kind.Write(d.logger, event.TaskName(dec.Task), event.Attempt(dec.Attempt), event.Worker(dec.Worker),
		event.Reason(dec.Reason), event.Candidates(dec.Candidates), event.Score(dec.Score), event.Refused(dec.Refused))
}

// logActions leaves a line for each running task that has to give way. A throttle
// that is only ordered again is no new decision.
func (d *decisionRing) logActions(p place.Plan) {
	for _, e := range p.Evictions {
		event.TaskEvicted.Write(d.logger, event.TaskName(e.Task), event.Attempt(e.Attempt), event.Worker(e.Worker),
			event.Reason(e.Reason))
	}
	for _, t := range p.Throttles {
		if t.Reason == place.ReasonStillInEffect {
			continue
		}
		event.TaskThrottled.Write(d.logger, event.TaskName(t.Task), event.Attempt(t.Attempt), event.Worker(t.Worker),
			event.ShareMilli(t.ShareMilli), event.Reason(t.Reason))
	}
}

// list returns the kept decisions, oldest first.
func (d *decisionRing) list() []Decided {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append(append([]Decided{}, d.ring[d.next:]...), d.ring[:d.next]...)
}
