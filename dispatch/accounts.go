package dispatch

import (
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/jobqueue"
	"github.com/cairnlift/cairnlift/logging/event"
	"github.com/cairnlift/cairnlift/state"
)

// readAccounts returns the client accounts with their use. Only the leader answers: the log does not
// contain shares and refusals.
func (d *Dispatcher) readAccounts() *apiv1.JobsReadResponse {
	d.mu.Lock()
	defer d.mu.Unlock()
	l := d.readyLeader()
	if l == nil {
		return &apiv1.JobsReadResponse{Unconfirmed: true}
	}
	resp := &apiv1.JobsReadResponse{Outcome: apiv1.JobOutcome_JOB_OUTCOME_OK}
	d.opts.Replica.ReadState(func(m *state.Machine) {
		resp.Accounts = m.CallerJobs().AccountRecords(d.opts.Now().UnixMilli())
		resp.ConfigurationVersion = m.CallerJobs().Configuration().Version
	})
	for _, a := range resp.Accounts {
		var nextReturn time.Duration
		a.Share = l.planner.AccountShare(a.Name)
		a.Refused, nextReturn = d.AdmissionOf(a.Name)
		a.NextTurnMs = nextReturn.Milliseconds()
	}
	return resp
}

// logHolds logs each order that held or released a queue and that this leader has not logged yet. A new
// leader logs the queues that are held.
func (d *Dispatcher) logHolds(l *leaderState, m *jobqueue.Machine) {
	held := m.HeldQueues()
	d.metrics.queuesHeld.Update(int64(len(held)))
	for _, queue := range held {
		if !l.loggedHolds[queue] {
			l.loggedHolds[queue] = true
			d.logHold(l.term, m.QueueHold(queue))
		}
	}
	for queue := range l.loggedHolds {
		if !m.QueueHeld(queue) {
			delete(l.loggedHolds, queue)
			d.logHold(l.term, m.QueueHold(queue))
		}
	}
}

func (d *Dispatcher) logHold(term uint64, h *apiv1.QueueHold) {
	event.HoldInEffect.Write(d.logger, event.Term(term), event.Queue(h.Queue), event.Held(h.Held),
		event.Revision(h.Revision), event.OrderedBy(h.Operator))
}
