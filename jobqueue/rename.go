package jobqueue

import (
	"slices"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

// queueRename is the change of the name of the queue at a location.
type queueRename struct {
	at       queueKey
	from, to string
}

// renamedQueues returns the queues that have another name in the next configuration than in the current one,
// in the order of the next one. A queue that was removed has the name that its jobs refer to.
func (m *Machine) renamedQueues(next *apiv1.QueueConfiguration) []queueRename {
	names := make(map[queueKey]string, len(m.configuration.Queues))
	for _, j := range m.active.values {
		names[keyOf(j.Queue)] = j.Queue.GetName()
	}
	for _, q := range m.configuration.Queues {
		names[keyOf(q)] = q.Name
	}
	var renames []queueRename
	for _, q := range next.Queues {
		if name, found := names[keyOf(q)]; found && name != q.Name {
			renames = append(renames, queueRename{keyOf(q), name, q.Name})
		}
	}
	return renames
}

// unnamesHeldQueue reports whether a held queue would have no name, by which orders refer to it.
func (m *Machine) unnamesHeldQueue(renames []queueRename) bool {
	return slices.ContainsFunc(renames, func(r queueRename) bool { return r.to == "" && m.QueueHeld(r.from) })
}

// carryHolds holds the new names of held queues, so that a hold ends by an order only. A former name is
// released once no queue has it, or only queues that were not held under their former names. All queues of a
// name are held together: a queue that takes the name of one that stays held is held too.
func (m *Machine) carryHolds(renames []queueRename) {
	carried := map[string]*apiv1.QueueHold{}
	var left []string
	for _, r := range renames {
		h := m.holds[r.from]
		if !h.GetHeld() {
			continue
		}
		left = append(left, r.from)
		if carried[r.to] == nil {
			carried[r.to] = h
		}
	}
	for _, name := range left {
		if h := m.holds[name]; h.Held && carried[name] == nil && !m.keepsName(name, renames) {
			m.replaceHold(name, &apiv1.QueueHold{SinceMs: m.nowMs, Operator: h.Operator})
		}
	}
	for _, r := range renames {
		if h := carried[r.to]; h != nil && !m.QueueHeld(r.to) {
			m.replaceHold(r.to, &apiv1.QueueHold{Held: true, SinceMs: h.SinceMs, Operator: h.Operator})
		}
	}
}

// keepsName reports whether a queue of the configuration has the given name and did not get it by one of
// the renames, or a queue that was removed and still has jobs.
func (m *Machine) keepsName(name string, renames []queueRename) bool {
	unchanged := func(q *apiv1.JobQueue) bool {
		return q.GetName() == name && !slices.ContainsFunc(renames, func(r queueRename) bool { return r.at == keyOf(q) })
	}
	return slices.ContainsFunc(m.configuration.Queues, unchanged) ||
		slices.ContainsFunc(m.active.values, func(j *Job) bool { return unchanged(j.Queue) })
}

// replaceHold replaces the record of a queue by a later one, which supersedes the orders about the former.
func (m *Machine) replaceHold(name string, next *apiv1.QueueHold) {
	next.Queue, next.Revision = name, m.holds[name].GetRevision()+1
	m.holds[name] = next
}

// updateQueuesOfJobs gives the open jobs the new configuration of their queues. Jobs of a queue that is
// removed keep its last one.
func (m *Machine) updateQueuesOfJobs() {
	queues := m.queuesByLocation()
	for _, j := range m.active.values {
		if q := queues[keyOf(j.Queue)]; q != nil {
			j.Queue = q
		}
	}
}

func (m *Machine) queuesByLocation() map[queueKey]*apiv1.JobQueue {
	queues := make(map[queueKey]*apiv1.JobQueue, len(m.configuration.Queues))
	for _, q := range m.configuration.Queues {
		queues[keyOf(q)] = q
	}
	return queues
}
