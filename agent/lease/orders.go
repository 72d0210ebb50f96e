package lease

import (
	"slices"
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

// neverStartedMessage is the message of an end that the agent reports without knowing the
// attempt: it can't name a checkpoint, so the leader's last one stands.
const neverStartedMessage = "was never started here"

// Actions is what to ask of the worker, in this order.
type Actions struct {
	// DropReason says why the orders were not followed; empty when they were.
	DropReason string
	// Deadline is what renewed attempts may run to, and started ones once they run.
	Deadline time.Duration
	// StartDeadline is what starts are sent with; see startWindow.
	StartDeadline time.Duration
	Renew         []*apiv1.TaskAttempt
	Forget        []*apiv1.TaskAttempt
	Throttle      []*apiv1.ThrottleTask
	// Stop is to be followed by Stopped for each, once it is done.
	Stop []*apiv1.StopTask
	// Start is to be followed by Started for each.
	Start []*apiv1.StartTask
	// Refused are starts that the worker has no room for.
	Refused []*apiv1.StartTask
}

// ApplyOrders follows the leader's reply to a heartbeat. A reply that is older than one
// already followed is dropped: its stops and starts may have been taken back since.
func (m *Manager) ApplyOrders(now time.Duration, o *apiv1.WorkerOrders) Actions {
	b, dropped := m.matchHeartbeat(o)
	if dropped != "" {
		return Actions{DropReason: dropped}
	}
	m.infoKnown = o.Renewed
	m.registered = m.registered || o.Renewed
	if m.identity.recordReply(o.Renewed) {
		m.registered = false
	}
	var a Actions
	if o.Renewed && o.LeaseMs > 0 {
		length := time.Duration(o.LeaseMs) * time.Millisecond
		m.longestLease = max(m.longestLease, length)
		a.Deadline = b.sentAt + length
	}
	m.acknowledge(&a, o.Acknowledged)
	m.applyStops(now, &a, o.Stop)
	a.Throttle = o.Throttle
	if a.Deadline <= now {
		return a
	}
	a.StartDeadline = min(a.Deadline, now+startWindow)
	m.renew(&a, b.running)
	if m.startsSettled(now) {
		m.applyStarts(now, &a, o.Start)
	}
	return a
}

// matchHeartbeat finds the heartbeat that orders reply to. Once a heartbeat is answered,
// neither it nor an older one can be any more.
func (m *Manager) matchHeartbeat(o *apiv1.WorkerOrders) (sentHeartbeat, string) {
	i := slices.IndexFunc(m.sentHeartbeats, func(b sentHeartbeat) bool { return b.sequence == o.Sequence })
	if i < 0 {
		return sentHeartbeat{}, "orders reply to a heartbeat older than the last answered one"
	}
	b := m.sentHeartbeats[i]
	if b.incarnation != m.identity.incarnation {
		return sentHeartbeat{}, "orders are for an earlier incarnation of the worker"
	}
	m.sentHeartbeats = m.sentHeartbeats[i+1:]
	return b, ""
}

func (m *Manager) acknowledge(a *Actions, acknowledged []*apiv1.TaskAttempt) {
	for _, t := range acknowledged {
		k := attemptOf(t)
		delete(m.inferredEnds, k)
		if h := m.attempts[k]; h != nil && h.ended() {
			a.Forget = append(a.Forget, t)
		}
	}
}

// renew prolongs what the answered heartbeat reported as running: only that did the
// leader see. What is stopped without a checkpoint is left out. It may be an
// attempt that the leader no longer counts: if its stop hangs, its deadline must
// still end it.
func (m *Manager) renew(a *Actions, running []Attempt) {
	for _, k := range running {
		if h := m.attempts[k]; h != nil && h.running() && !h.unwanted {
			h.deadline = max(h.deadline, a.Deadline)
			a.Renew = append(a.Renew, k.proto())
		}
	}
}

func (m *Manager) applyStops(now time.Duration, a *Actions, stops []*apiv1.StopTask) {
	for _, s := range stops {
		k := attemptOf(s.Task)
		h := m.attempts[k]
		switch {
		case h != nil && !h.ended() && !h.stopping:
			h.stopping = true
			h.unwanted = !s.Checkpoint
			h.startTries = maxStartTries
			a.Stop = append(a.Stop, s)
		case h == nil && m.inferredEnds[k] == nil && m.startsSettled(now):
			// Its start order was lost. The room stays taken until someone says
			// that the attempt is over.
			m.inferEnd(k, "", neverStartedMessage)
		}
	}
}

func (m *Manager) applyStarts(now time.Duration, a *Actions, starts []*apiv1.StartTask) {
	for _, s := range starts {
		k := attemptOf(s.Task)
		h := m.attempts[k]
		switch {
		case m.inferredEnds[k] != nil || m.hasOtherAttempt(k):
		case h != nil && (h.status != nil || h.startTries >= maxStartTries):
		case h != nil:
			m.addStart(a, h, s)
		case m.fits(s.Grant):
			h = &attemptState{grant: s.Grant, checkpoint: s.Checkpoint, firstSeen: now}
			m.attempts[k] = h
			m.addStart(a, h, s)
		default:
			m.inferEnd(k, s.Checkpoint, "worker has no room for it")
			a.Refused = append(a.Refused, s)
		}
	}
}

func (m *Manager) addStart(a *Actions, h *attemptState, s *apiv1.StartTask) {
	h.startTries++
	h.deadline = max(h.deadline, a.StartDeadline)
	a.Start = append(a.Start, s)
}

// hasOtherAttempt reports whether another attempt of the same task is here and not
// over. Two of them must never run at once.
func (m *Manager) hasOtherAttempt(k Attempt) bool {
	for other, h := range m.attempts {
		if other.Task == k.Task && other.Number != k.Number && !h.ended() {
			return true
		}
	}
	return false
}

// fits checks a grant against what really runs here. The leader has checked too,
// but it may not know yet that the worker came back smaller.
func (m *Manager) fits(grant *apiv1.Resources) bool {
	if !validResources(grant) || m.info.GetCapacity() == nil {
		return false
	}
	sum := m.reserved
	for _, h := range m.attempts {
		if h.ended() {
			continue
		}
		if h.grant == nil {
			return false
		}
		sum = sum.Add(h.grant)
	}
	return sum.Add(grant).fitsIn(amountOf(m.info.Capacity))
}

// StartResult is how a start at the worker went.
type StartResult int

const (
	// StartDone: the worker runs the attempt.
	StartDone StartResult = iota
	// StartRefused: the worker certainly did not and will not start it.
	StartRefused
	// StartExpired: the worker refused because the deadline had passed; the order may come again.
	StartExpired
	// StartUnknown: no reply; the worker may start it until its deadline.
	StartUnknown
)

// RecordStart notes how a start went, and reports whether to renew the attempt to the
// orders' Deadline now. After StartUnknown the attempt takes room until the worker
// lists it or its deadline has passed.
func (m *Manager) RecordStart(t *apiv1.StartTask, r StartResult, message string, deadline time.Duration) (renew bool) {
	k := attemptOf(t.Task)
	h := m.attempts[k]
	if h == nil || h.ended() || h.unwanted {
		return false
	}
	if r == StartDone {
		h.deadline = max(h.deadline, deadline)
		return true
	}
	if r == StartUnknown || h.startTries > 1 || h.status != nil {
		return false // This or an earlier try may yet take effect.
	}
	delete(m.attempts, k)
	if r == StartRefused {
		m.inferEnd(k, h.checkpoint, message)
	}
	return false
}

// RecordStop notes that a stop was carried out or failed. A lost reply to the
// checkpoint before it leaves checkpoint empty: then the last durable one counts.
func (m *Manager) RecordStop(t *apiv1.TaskAttempt, checkpoint string, ok bool) {
	h := m.attempts[attemptOf(t)]
	if h == nil {
		return
	}
	if checkpoint != "" {
		h.checkpoint = checkpoint
	}
	if !ok {
		h.stopping = false // The next order tries again.
	}
}
