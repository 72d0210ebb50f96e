package dispatch

import (
	"fmt"
	"time"

	"github.com/cairnlift/cairnlift/jobqueue"
	"github.com/cairnlift/cairnlift/logging/event"
)

const (
	// stopCheckInterval is the time between two checks of the runs that have to end.
	stopCheckInterval = 500 * time.Millisecond
	// stopLogInterval is the time from the order to stop a run to the first line about it, and between
	// two lines. Most runs end within half a second of the order.
	stopLogInterval = 2 * time.Second
	// maxLoggedStops bounds the runs in one line.
	maxLoggedStops = 100
)

// Reasons why a run that has to end is not known to have ended.
const (
	stopWorkerUnresponsive = "no report of its worker"
	stopOrderNotReceived   = "order not received by its agent"
	stopListed             = "listed by its worker"
	stopUnlisted           = "not listed by its worker"
)

// workerRun is a run on a worker. The log may contain a run on another worker than the one that lists it.
type workerRun struct {
	worker string
	id     jobqueue.RunID
}

// openStop is the order to stop a run that is not known to have ended.
type openStop struct {
	since, loggedAt time.Time
	// sequence is that of the first known orders that contain the stop.
	sequence uint64
}

// openStops are the stops that the leader orders.
type openStops struct {
	checkedAt time.Time
	byRun     map[workerRun]*openStop
	// receivedOrders is the sequence of the last orders that each worker's agent has.
	receivedOrders map[string]uint64
}

func newOpenStops() *openStops {
	return &openStops{byRun: map[workerRun]*openStop{}, receivedOrders: map[string]uint64{}}
}

// checkStops logs the runs that were ordered to stop stopLogInterval ago or earlier and are not
// known to have ended.
func (d *Dispatcher) checkStops(l *leaderState, m *jobqueue.Machine, now time.Time) {
	s := l.stops
	if now.Sub(s.checkedAt) < stopCheckInterval {
		return
	}
	s.checkedAt = now
	open := map[workerRun]bool{}
	overdue, logged := 0, 0
	byReason := map[string][]string{}
	check := func(worker string, id jobqueue.RunID, listed bool) {
		run := workerRun{worker, id}
		open[run] = true
		stop := s.begin(run, l.orderSequence(m, worker), now)
		if now.Sub(stop.since) < stopLogInterval {
			return
		}
		overdue++
		if now.Sub(stop.loggedAt) < stopLogInterval || logged == maxLoggedStops {
			return
		}
		logged++
		stop.loggedAt = now
		reason := l.openStopReason(run, stop, listed, now)
		byReason[reason] = append(byReason[reason], fmt.Sprintf("%s %d %s %d", id.Task, id.Number, run.worker, now.Sub(stop.since).Milliseconds()))
	}
	for _, w := range m.Workers() {
		for _, r := range w.RunsMatching(func(r *jobqueue.Run) bool { return r.Stopping }) {
			check(w.Spec.Id, r.ID, now.Sub(l.observed[r.ID].At) < stopLogInterval)
		}
	}
	for worker, runs := range l.unlogged {
		for _, id := range runs {
			check(worker, id, true)
		}
	}
	s.prune(m, open)
	d.metrics.stopsOverdue.Update(int64(overdue))
	if len(byReason) > 0 {
		event.RunsOutlastStops.Write(d.logger, event.Term(l.term), event.Outlasting(byReason))
	}
}

// begin returns the open stop of a run, which begins at now if it is new.
func (s *openStops) begin(run workerRun, sequence uint64, now time.Time) *openStop {
	stop := s.byRun[run]
	if stop == nil {
		stop = &openStop{since: now, sequence: sequence}
		s.byRun[run] = stop
	}
	return stop
}

// prune drops the stops that are no longer open, and what is kept of workers that have left.
func (s *openStops) prune(m *jobqueue.Machine, open map[workerRun]bool) {
	for run := range s.byRun {
		if !open[run] {
			delete(s.byRun, run)
		}
	}
	for worker := range s.receivedOrders {
		if m.Worker(worker) == nil && !m.HasDeparted(worker) {
			delete(s.receivedOrders, worker)
		}
	}
}

// openStopReason returns why a run that has to end is not known to have ended. listed reports whether
// its worker listed it last.
func (l *leaderState) openStopReason(run workerRun, stop *openStop, listed bool, now time.Time) string {
	switch {
	case now.Sub(l.leases.get(run.worker).renewedAt) >= stopLogInterval:
		return stopWorkerUnresponsive
	case l.stops.receivedOrders[run.worker] < stop.sequence:
		return stopOrderNotReceived
	case listed:
		return stopListed
	}
	return stopUnlisted
}

// orderSequence returns the sequence of a worker's orders.
func (l *leaderState) orderSequence(m *jobqueue.Machine, worker string) uint64 {
	return m.Revision(worker) + l.orderRevisions[worker]
}
