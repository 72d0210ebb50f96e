// Package lease keeps the leases under which a host's worker runs tasks. A lease holder must stop
// before the granter counts the lease as expired. Every deadline is therefore counted from the
// moment a heartbeat was sent, on the host's boot clock, and passed to the worker as an absolute
// reading: an agent that freezes or dies extends no lease.
//
// The package does no I/O. Times are boot clock readings passed in. A Manager is not safe for
// concurrent use.
package lease

import (
	"cmp"
	"slices"
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

const (
	// startWindow is the time in which a start must reach the worker. A start is sent with this
	// short deadline, and the attempt is renewed once the start has succeeded. A start whose
	// reply is lost is thus soon either expired or seen running; with the whole lease as its
	// deadline it could take effect until the lease expires, long after the agent that sent it
	// died.
	startWindow = 2 * time.Second
	// maxStartTries is the maximum number of tries to start one attempt.
	maxStartTries = 3
	// stopEffectTime is longer than a worker takes to end an attempt that it was told to stop.
	stopEffectTime = time.Second
	// keptHeartbeats is the number of sent heartbeats that are kept for matching replies.
	keptHeartbeats = 16
)

// Attempt identifies one run of one task.
type Attempt struct {
	Task   string
	Number uint64
}

func attemptOf(t *apiv1.TaskAttempt) Attempt {
	return Attempt{Task: t.GetTask(), Number: t.GetAttempt()}
}

func (a Attempt) proto() *apiv1.TaskAttempt {
	return &apiv1.TaskAttempt{Task: a.Task, Attempt: a.Number}
}

// attemptState is the state of an attempt that occupies, or may occupy, capacity on the worker.
type attemptState struct {
	// grant is nil when the agent does not know it; then no further attempt starts.
	grant *apiv1.Resources
	// checkpoint is the newest one that the agent knows to be durable.
	checkpoint string
	// deadline is the latest one that the worker may have received; zero when a previous agent
	// sent it. In that case expired counts the longest lease from firstSeen.
	deadline  time.Duration
	firstSeen time.Duration
	// status is the last one that the worker reported; nil while it has not listed the attempt.
	status *apiv1.TaskStatus
	// missing: the worker no longer lists an attempt that it listed before.
	missing bool
	// stopping: a stop is in progress, or the worker confirmed it. unwanted: the stop was ordered
	// without a checkpoint.
	stopping bool
	unwanted bool
	// stopConfirmed: the worker confirmed the stop. runningSince is when it first listed the
	// attempt as running after that.
	stopConfirmed bool
	runningSince  time.Duration
	startTries    int
}

func (s *attemptState) running() bool {
	return s.status.GetPhase() == apiv1.TaskPhase_TASK_PHASE_RUNNING && !s.missing
}

// ended reports whether the worker reported the end of the attempt.
func (s *attemptState) ended() bool {
	return s.status != nil && s.status.Phase != apiv1.TaskPhase_TASK_PHASE_RUNNING
}

// checkStop lets the next order stop an attempt again that still runs long after its stop was
// confirmed.
func (s *attemptState) checkStop(now time.Duration) {
	switch {
	case !s.stopConfirmed || !s.running():
	case s.runningSince == 0:
		s.runningSince = now
	case now-s.runningSince >= stopEffectTime:
		s.stopping, s.stopConfirmed, s.runningSince = false, false, 0
	}
}

// sentHeartbeat is the content of a heartbeat, kept until its reply arrives.
type sentHeartbeat struct {
	sequence    uint64
	sentAt      time.Duration
	incarnation uint64
	running     []Attempt
}

// Manager decides which calls the agent makes to the worker.
type Manager struct {
	startedAt time.Duration
	// longestLease is the longest lease duration in any orders; zero before the first.
	longestLease time.Duration

	identity identity
	// registered: the leader has renewed under the current incarnation.
	registered bool
	info       *apiv1.WorkerInfo
	infoKnown  bool // The leader has the current info.
	reserved   Amount

	attempts map[Attempt]*attemptState
	// inferredEnds are the ends of attempts whose end the worker has not listed.
	inferredEnds map[Attempt]*apiv1.TaskStatus

	sequence       uint64
	sentHeartbeats []sentHeartbeat
}

// New returns a manager for an agent that starts now.
func New(now time.Duration) *Manager {
	return &Manager{
		startedAt: now,
		// Heartbeats are sent less often than once per millisecond, so the sequence keeps
		// increasing over restarts of the agent.
		sequence:     uint64(now.Milliseconds()),
		attempts:     make(map[Attempt]*attemptState),
		inferredEnds: make(map[Attempt]*apiv1.TaskStatus),
	}
}

// Observation is what a worker reported about itself at one time. The caller must read its parts
// in the order of the fields: if the tasks were read before a restart of the worker and the
// instance after it, the lost tasks would be reported as running under the new incarnation.
type Observation struct {
	Info *apiv1.WorkerInfo
	// Instance identifies the worker's current process; used when Info has no incarnation.
	Instance string
	Tasks    []*apiv1.TaskStatus
	// Reserved is the amount that the host's targets use.
	Reserved Amount
	// WallClock is the Unix time in nanoseconds, from which incarnations are assigned.
	WallClock uint64
}

// Observe records an observation of the worker and reports whether an attempt has ended since the
// last one.
func (m *Manager) Observe(now time.Duration, o Observation) (ended bool) {
	if m.identity.observe(o) {
		m.infoKnown, m.registered = false, false
		m.dropPreviousInstance()
	}
	if !sameInfo(o.Info, m.info) {
		m.infoKnown = false
	}
	m.info, m.reserved = o.Info, o.Reserved
	listed := make(map[Attempt]bool, len(o.Tasks))
	for _, st := range o.Tasks {
		k := attemptOf(st.Task)
		listed[k] = true
		ended = m.recordListed(now, k, st) || ended
	}
	return m.checkUnlisted(now, listed) || ended
}

// dropPreviousInstance drops what the worker's previous instance ran. It keeps starts that were
// not confirmed, since they may have been sent to the new instance.
func (m *Manager) dropPreviousInstance() {
	for k, state := range m.attempts {
		if state.status != nil {
			delete(m.attempts, k)
		}
	}
}

func (m *Manager) recordListed(now time.Duration, k Attempt, st *apiv1.TaskStatus) (ended bool) {
	state := m.attempts[k]
	if state == nil {
		state = &attemptState{firstSeen: now}
		m.attempts[k] = state
	}
	if st.Grant != nil {
		state.grant = st.Grant
	}
	if st.Checkpoint != "" {
		state.checkpoint = st.Checkpoint
	}
	was := state.ended()
	state.status, state.missing = st, false
	state.checkStop(now)
	delete(m.inferredEnds, k) // The worker's report takes precedence over the agent's inference.
	return state.ended() && !was
}

// checkUnlisted checks the attempts that the worker did not list. An attempt that a delayed
// message may still start, or that the worker may still run, counts as ended only once its
// deadline has passed: reported earlier, the next attempt could run in parallel with it.
func (m *Manager) checkUnlisted(now time.Duration, listed map[Attempt]bool) (ended bool) {
	for k, state := range m.attempts {
		switch {
		case listed[k]:
		case state.ended():
			delete(m.attempts, k) // The worker has forgotten it.
		case !m.expired(now, state):
			state.missing = state.status != nil
		default:
			message := "worker did not start it"
			if state.status != nil {
				message = "worker no longer lists it"
			}
			m.inferEnd(k, state.checkpoint, message)
			delete(m.attempts, k)
			ended = true
		}
	}
	return ended
}

// expired reports whether every deadline that an attempt may have has passed.
func (m *Manager) expired(now time.Duration, state *attemptState) bool {
	if state.deadline > 0 {
		return now >= state.deadline
	}
	return m.longestLease > 0 && now >= state.firstSeen+m.longestLease
}

// startsSettled reports whether the starts that a previous agent sent can no longer take effect.
// Before that, an attempt that is not listed may still begin to run and occupy capacity.
func (m *Manager) startsSettled(now time.Duration) bool { return now >= m.startedAt+startWindow }

func (m *Manager) inferEnd(k Attempt, checkpoint, message string) {
	m.inferredEnds[k] = &apiv1.TaskStatus{
		Task:       k.proto(),
		Phase:      apiv1.TaskPhase_TASK_PHASE_STOPPED,
		Checkpoint: checkpoint,
		Message:    message,
	}
}

// Heartbeat returns the worker's part of a heartbeat that is sent now; nil while the state of the
// worker is not conclusive. Running attempts are reported before anything starts.
//
// The leader registers no incarnation without the worker's info, so the info is left out until
// the starts of a previous agent have settled: such a start may have reached a worker that
// restarted meanwhile, and is not listed yet. Leases under an incarnation that the leader knows
// are renewed regardless.
func (m *Manager) Heartbeat(now time.Duration) *apiv1.WorkerHeartbeat {
	if !m.conclusive(now) {
		return nil
	}
	m.sequence++
	hb := &apiv1.WorkerHeartbeat{
		Worker:      m.info.GetName(),
		Incarnation: m.identity.incarnation,
		Sequence:    m.sequence,
	}
	if !m.infoKnown && m.startsSettled(now) {
		hb.Info = m.info
	}
	b := sentHeartbeat{sequence: m.sequence, sentAt: now, incarnation: m.identity.incarnation}
	for k, state := range m.attempts {
		if state.running() {
			b.running = append(b.running, k)
		}
		if state.status != nil && !state.missing {
			hb.Tasks = append(hb.Tasks, state.reportedStatus())
		}
	}
	for _, st := range m.inferredEnds {
		hb.Tasks = append(hb.Tasks, st)
	}
	slices.SortFunc(hb.Tasks, byTask)
	slices.SortFunc(b.running, byAttempt)
	m.sentHeartbeats = append(m.sentHeartbeats, b)
	if len(m.sentHeartbeats) > keptHeartbeats {
		m.sentHeartbeats = m.sentHeartbeats[1:]
	}
	return hb
}

// conclusive reports whether it is certain that attempts which are not listed do not run. A
// heartbeat with a new incarnation requires that: the leader takes the attempts left out as ended
// and grants their tasks again, so a task whose start is still in progress would run twice.
func (m *Manager) conclusive(now time.Duration) bool {
	if !m.identity.known || !m.identity.namedByWorker && !m.startsSettled(now) {
		return false
	}
	if m.registered {
		return true
	}
	for _, state := range m.attempts {
		if state.status == nil {
			return false
		}
	}
	return true
}

// reportedStatus returns the worker's status. Where it names no checkpoint, the one from the
// reply to the agent's own request is filled in.
func (s *attemptState) reportedStatus() *apiv1.TaskStatus {
	st := s.status
	if st.Checkpoint != "" || s.checkpoint == "" {
		return st
	}
	return &apiv1.TaskStatus{
		Task:          st.Task,
		Phase:         st.Phase,
		Checkpoint:    s.checkpoint,
		Message:       st.Message,
		ProgressMilli: st.ProgressMilli,
		Grant:         st.Grant,
	}
}

func byTask(a, b *apiv1.TaskStatus) int { return byAttempt(attemptOf(a.Task), attemptOf(b.Task)) }

func byAttempt(a, b Attempt) int {
	return cmp.Or(cmp.Compare(a.Task, b.Task), cmp.Compare(a.Number, b.Number))
}

func sameInfo(a, b *apiv1.WorkerInfo) bool {
	if a == nil || b == nil {
		return a == b
	}
	return a.Name == b.Name && amountOf(a.Capacity) == amountOf(b.Capacity) &&
		a.Location.GetRegion() == b.Location.GetRegion() &&
		a.Location.GetAvailabilityZone() == b.Location.GetAvailabilityZone() &&
		a.Location.GetRack() == b.Location.GetRack()
}
