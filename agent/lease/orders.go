package lease

import (
	"slices"
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

// neverStartedMessage is the message of an end that the agent reports for an attempt it does not
// know. Such an end names no checkpoint, so the leader keeps its last one.
const neverStartedMessage = "was never started here"

// Actions are the calls to make to the worker, in the order of the fields.
type Actions struct {
	// DropReason is why the orders were dropped; empty when they were applied.
	DropReason string
	// Deadline is the deadline for attempts that are renewed, and for started ones once they run.
	Deadline time.Duration
	// StartDeadline is the deadline that starts are sent with; see startWindow.
	StartDeadline time.Duration
	Renew         []*apiv1.TaskAttempt
	Forget        []*apiv1.TaskAttempt
	Throttle      []*apiv1.ThrottleTask
	// Stop are the stops to carry out; RecordStop must be called with the result of each.
	Stop []*apiv1.StopTask
	// Start are the starts to carry out; RecordStart must be called with the result of each.
	Start []*apiv1.StartTask
	// Refused are starts for which the worker has too little free capacity, and those in a cordoned
	// availability zone.
	Refused []*apiv1.StartTask
}

// ApplyOrders processes the leader's reply to a heartbeat. A reply that is older than one already
// applied is dropped, because its stops and starts may have been withdrawn since.
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
		m.applyStarts(now, &a, o.Start, o.Cordoned)
	}
	return a
}

// matchHeartbeat finds the heartbeat that the orders reply to. Once a heartbeat has been matched,
// neither it nor an older one can be matched again. If there is no match, it returns the reason.
func (m *Manager) matchHeartbeat(o *apiv1.WorkerOrders) (sentHeartbeat, string) {
	i := slices.IndexFunc(m.sentHeartbeats, func(b sentHeartbeat) bool { return b.sequence == o.Sequence })
	if i < 0 {
		return sentHeartbeat{}, "orders reply to a heartbeat older than the last answered one"
	}
	b := m.sentHeartbeats[i]
	if b.incarnation != m.identity.incarnation {
		return sentHeartbeat{}, "orders are for a previous incarnation of the worker"
	}
	m.sentHeartbeats = m.sentHeartbeats[i+1:]
	return b, ""
}

func (m *Manager) acknowledge(a *Actions, acknowledged []*apiv1.TaskAttempt) {
	for _, t := range acknowledged {
		k := attemptOf(t)
		delete(m.inferredEnds, k)
		if state := m.attempts[k]; state != nil && state.ended() {
			a.Forget = append(a.Forget, t)
		}
	}
}

// renew extends the attempts that the answered heartbeat reported as running, since the leader
// has seen only those. Attempts that are being stopped without a checkpoint are left out: the
// leader may no longer count them, and if the stop hangs, their deadline must still end them.
func (m *Manager) renew(a *Actions, running []Attempt) {
	for _, k := range running {
		if state := m.attempts[k]; state != nil && state.running() && !state.unwanted {
			state.deadline = max(state.deadline, a.Deadline)
			a.Renew = append(a.Renew, k.proto())
		}
	}
}

func (m *Manager) applyStops(now time.Duration, a *Actions, stops []*apiv1.StopTask) {
	for _, s := range stops {
		k := attemptOf(s.Task)
		state := m.attempts[k]
		switch {
		case state != nil && !state.ended() && !state.stopping:
			state.stopping = true
			state.unwanted = !s.Checkpoint
			state.startTries = maxStartTries
			a.Stop = append(a.Stop, s)
		case state == nil && m.inferredEnds[k] == nil && m.startsSettled(now):
			// The order to start it was lost. The capacity remains reserved until an end of the
			// attempt is reported.
			m.inferEnd(k, "", neverStartedMessage)
		}
	}
}

func (m *Manager) applyStarts(now time.Duration, a *Actions, starts []*apiv1.StartTask, cordoned bool) {
	for _, s := range starts {
		k := attemptOf(s.Task)
		state := m.attempts[k]
		switch {
		case m.inferredEnds[k] != nil || m.hasOtherAttempt(k):
		case cordoned && state == nil:
			m.inferEnd(k, s.Checkpoint, "availability zone is cordoned")
			a.Refused = append(a.Refused, s)
		case cordoned:
			// An earlier try may still begin it; otherwise it ends with its deadline.
		case state != nil && (state.status != nil || state.startTries >= maxStartTries):
		case state != nil && m.overcommitted():
			// The attempt counts already. Unless an earlier try begins it, it ends with its deadline.
		case state != nil:
			m.addStart(a, state, s)
		case m.fits(s.Grant):
			state = &attemptState{grant: s.Grant, checkpoint: s.Checkpoint, firstSeen: now}
			m.attempts[k] = state
			m.addStart(a, state, s)
		default:
			m.inferEnd(k, s.Checkpoint, "worker has no room for it")
			a.Refused = append(a.Refused, s)
		}
	}
}

func (m *Manager) addStart(a *Actions, state *attemptState, s *apiv1.StartTask) {
	state.startTries++
	state.deadline = max(state.deadline, a.StartDeadline)
	a.Start = append(a.Start, s)
}

// hasOtherAttempt reports whether another attempt of the same task is on the worker and has not
// ended. Two attempts must never run at once.
func (m *Manager) hasOtherAttempt(k Attempt) bool {
	for other, state := range m.attempts {
		if other.Task == k.Task && other.Number != k.Number && !state.ended() {
			return true
		}
	}
	return false
}

// fits checks a grant against the attempts that are actually on the worker. The leader has
// checked too, but it may not know yet that the worker restarted with less capacity.
func (m *Manager) fits(grant *apiv1.Resources) bool {
	sum, known := m.occupied()
	return known && validResources(grant) && sum.Add(grant).fitsIn(amountOf(m.info.GetCapacity()))
}

// overcommitted reports whether the attempts on the worker exceed its capacity, or may exceed it.
func (m *Manager) overcommitted() bool {
	sum, known := m.occupied()
	return !known || !sum.fitsIn(amountOf(m.info.GetCapacity()))
}

// occupied returns what the attempts and the targets on the worker use; known is false if that or the
// worker's capacity is unknown.
func (m *Manager) occupied() (sum Amount, known bool) {
	sum = m.reserved
	for _, state := range m.attempts {
		if state.ended() {
			continue
		}
		if state.grant == nil {
			return sum, false
		}
		sum = sum.Add(state.grant)
	}
	return sum, m.info.GetCapacity() != nil
}

// StartResult is the result of a start call to the worker.
type StartResult int

const (
	// StartDone: the worker runs the attempt.
	StartDone StartResult = iota
	// StartRefused: the worker certainly did not start the attempt and will not.
	StartRefused
	// StartExpired: the worker refused because the deadline had passed; the order may be
	// repeated.
	StartExpired
	// StartUnknown: no reply arrived; the worker may start the attempt until its deadline.
	StartUnknown
)

// RecordStart records the result of a start, and reports whether the caller must renew the
// attempt to the orders' Deadline now. After StartUnknown the attempt occupies capacity until the
// worker lists it or its deadline has passed.
func (m *Manager) RecordStart(t *apiv1.StartTask, r StartResult, message string, deadline time.Duration) (renew bool) {
	k := attemptOf(t.Task)
	state := m.attempts[k]
	if state == nil || state.ended() || state.unwanted {
		return false
	}
	if r == StartDone {
		state.deadline = max(state.deadline, deadline)
		return true
	}
	if r == StartUnknown || state.startTries > 1 || state.status != nil {
		return false // This or an earlier try may still take effect.
	}
	delete(m.attempts, k)
	if r == StartRefused {
		m.inferEnd(k, state.checkpoint, message)
	}
	return false
}

// RecordStop records whether a stop succeeded. If the reply to the preceding checkpoint call was
// lost, checkpoint is empty and the last durable one remains in effect.
func (m *Manager) RecordStop(t *apiv1.TaskAttempt, checkpoint string, ok bool) {
	state := m.attempts[attemptOf(t)]
	if state == nil {
		return
	}
	if checkpoint != "" {
		state.checkpoint = checkpoint
	}
	state.stopConfirmed = ok
	if !ok {
		state.stopping = false // The next order tries again.
	}
}
