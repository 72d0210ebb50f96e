package jobqueue

import (
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

const (
	// maxHolds bounds the queues about whose hold orders are stored, of all configurations so far.
	maxHolds = 10_000
	// maxOperatorName bounds the length of the name of an order's sender, in bytes.
	maxOperatorName = 200
)

// setQueueHold holds or releases a queue. Delayed copies of an order are told apart as those about an
// availability zone are; see setCordon.
func (m *Machine) setQueueHold(o *apiv1.SetQueueHold) apiv1.JobOutcome {
	if o.GetQueue() == "" || len(o.Operator) > maxOperatorName {
		return apiv1.JobOutcome_JOB_OUTCOME_INVALID
	}
	current := m.holds[o.Queue]
	changes := o.Held != current.GetHeld()
	switch {
	case current == nil && !m.hasQueue(o.Queue):
		return apiv1.JobOutcome_JOB_OUTCOME_NO_QUEUE
	case changes && o.Revision != current.GetRevision():
		return apiv1.JobOutcome_JOB_OUTCOME_SUPERSEDED
	case current == nil && len(m.holds) >= maxHolds:
		return apiv1.JobOutcome_JOB_OUTCOME_FULL
	}
	// Responses may still refer to the current record, so it is replaced.
	next := &apiv1.QueueHold{Queue: o.Queue, Revision: current.GetRevision() + 1, Held: o.Held}
	if changes || current == nil {
		next.SinceMs, next.Operator = m.nowMs, o.Operator
	} else {
		next.SinceMs, next.Operator = current.SinceMs, current.Operator
	}
	m.holds[o.Queue] = next
	return apiv1.JobOutcome_JOB_OUTCOME_OK
}

// hasQueue reports whether the configuration has a queue of the given name, or an open job has one that was
// removed.
func (m *Machine) hasQueue(name string) bool { return m.queueNames()[name] }

func (m *Machine) queueNames() map[string]bool {
	names := map[string]bool{}
	for _, q := range m.configuration.Queues {
		names[q.Name] = true
	}
	for _, j := range m.active.values {
		names[j.Queue.GetName()] = true
	}
	return names
}

// QueueHold returns the newest order about the hold of a queue, nil if there was none. The caller must
// not modify it.
func (m *Machine) QueueHold(queue string) *apiv1.QueueHold { return m.holds[queue] }

// QueueHeld reports whether no task of a queue may start.
func (m *Machine) QueueHeld(queue string) bool { return m.holds[queue].GetHeld() }

// Holds returns the hold of each queue that the configuration or an open job names or about which there was
// an order, ordered by name. The caller must not modify them.
func (m *Machine) Holds() []*apiv1.QueueHold {
	byName := maps.Clone(m.holds)
	for name := range m.queueNames() {
		if name != "" && byName[name] == nil {
			byName[name] = &apiv1.QueueHold{Queue: name}
		}
	}
	return sortedHolds(byName)
}

// HeldQueues returns the names of the held queues in order.
func (m *Machine) HeldQueues() []string {
	var names []string
	for _, h := range m.holds {
		if h.Held {
			names = append(names, h.Queue)
		}
	}
	slices.Sort(names)
	return names
}

// holdRecords returns the newest order about each queue, ordered by name.
func (m *Machine) holdRecords() []*apiv1.QueueHold { return sortedHolds(m.holds) }

func sortedHolds(byName map[string]*apiv1.QueueHold) []*apiv1.QueueHold {
	var list []*apiv1.QueueHold
	for _, name := range slices.Sorted(maps.Keys(byName)) {
		list = append(list, byName[name])
	}
	return list
}

// restoreHolds restores the holds of a snapshot; one of an earlier release contains none.
func (m *Machine) restoreHolds(list []*apiv1.QueueHold) {
	for _, h := range list {
		m.holds[h.Queue] = proto.CloneOf(h)
	}
}
