package control

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/cairnlift/cairnlift/logging/event"
	"github.com/cairnlift/cairnlift/place"
)

// decisionRingSize is how many planning decisions are kept for operators.
const decisionRingSize = 1024

// RecordedDecision is a planning decision and when it was made.
type RecordedDecision struct {
	At time.Time
	place.Decision
}

// decisionRing logs planning decisions and keeps the last ones.
type decisionRing struct {
	logger *zap.Logger
	mu     sync.Mutex
	ring   []RecordedDecision
	next   int
	// waiting holds what the last round said about each task that stays queued: a
	// task that waits is logged when the reason changes, not in each round.
	waiting map[string]RecordedDecision
}

func (d *decisionRing) add(at time.Time, decisions []place.Decision) {
	d.mu.Lock()
	defer d.mu.Unlock()
	waiting := make(map[string]RecordedDecision, len(d.waiting))
	for _, dec := range decisions {
		if dec.Worker == "" {
			waiting[dec.Task] = RecordedDecision{At: at, Decision: dec}
			if last, known := d.waiting[dec.Task]; known && last.Reason == dec.Reason {
				continue
			}
		}
		d.keep(RecordedDecision{At: at, Decision: dec})
		d.log(dec)
	}
	d.waiting = waiting
}

// forTasks returns the kept decisions on some tasks, oldest first, and last what the
// newest round said of those that wait. The kept ones alone would tell an operator
// why a task waited at first: the same reason sums up refusals that change.
func (d *decisionRing) forTasks(tasks map[string]bool) []RecordedDecision {
	var list []RecordedDecision
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

func (d *decisionRing) keep(dec RecordedDecision) {
	if len(d.ring) < decisionRingSize {
		d.ring = append(d.ring, dec)
		return
	}
	d.ring[d.next] = dec
	d.next = (d.next + 1) % decisionRingSize
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
func (d *decisionRing) list() []RecordedDecision {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append(append([]RecordedDecision{}, d.ring[d.next:]...), d.ring[:d.next]...)
}
