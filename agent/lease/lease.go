// Package lease keeps the leases that a host's worker runs tasks under. A holder
// must stop before the granter counts the lease as over, so every deadline is
// counted from the moment a heartbeat was sent, on the host's boot clock, and
// handed to the worker as an absolute reading: an agent that freezes or dies
// prolongs nothing.
//
// The package does no I/O. Times are boot clock readings passed in. A Manager is
// not safe for concurrent use.
package lease

import (
	"cmp"
	"slices"
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

const (
	// startWindow is how long a start may take to reach the worker: it is sent with
	// so short a deadline, and renewed once it has succeeded. A start whose reply
	// is lost is thus over, or seen to run, soon; with the whole lease as its
	// deadline it could take effect until then, long after the agent that sent it
	// died.
	startWindow = 2 * time.Second
	// maxStartTries is how often the start of one attempt is tried.
	maxStartTries = 3
	// keptHeartbeats is how many heartbeats a reply may be late by.
	keptHeartbeats = 16
)

// Attempt names one run of one task.
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

// attemptState is an attempt that takes, or may take, room on the worker.
type attemptState struct {
	// grant is nil when the agent does not know it: then nothing new starts.
	grant *apiv1.Resources
	// checkpoint is the newest that the agent knows to be durable.
	checkpoint string
	// deadline is the latest that the worker may have been given; zero when an
	// earlier agent gave it, then expires counts from first.
	deadline  time.Duration
	firstSeen time.Duration
	// status is what the worker said last; nil while it has not listed the attempt.
	status *apiv1.TaskStatus
	// missing says that the worker no longer lists an attempt it listed before.
	missing bool
	// stopping says that a stop is being carried out, unwanted that it was ordered
	// without a checkpoint.
	stopping   bool
	unwanted   bool
	startTries int
}

func (h *attemptState) running() bool {
	return h.status.GetPhase() == apiv1.TaskPhase_TASK_PHASE_RUNNING && !h.missing
}

// ended reports whether the worker said that the attempt is over.
func (h *attemptState) ended() bool {
	return h.status != nil && h.status.Phase != apiv1.TaskPhase_TASK_PHASE_RUNNING
}

// sentHeartbeat is what a heartbeat said, kept until its reply comes.
type sentHeartbeat struct {
	sequence    uint64
	sentAt      time.Duration
	incarnation uint64
	running     []Attempt
}

// Manager decides what the agent asks of the worker.
type Manager struct {
	startedAt time.Duration
	// longestLease is the longest length in any orders, zero before the first.
	longestLease time.Duration

	identity identity
	// registered says that the leader renewed under the present incarnation.
	registered bool
	info       *apiv1.WorkerInfo
	infoKnown  bool // The leader has the present info.
	reserved   Amount

	attempts map[Attempt]*attemptState
	// inferredEnds are attempts that ended without the worker ever listing their end.
	inferredEnds map[Attempt]*apiv1.TaskStatus

	sequence       uint64
	sentHeartbeats []sentHeartbeat
}

// New returns a manager for an agent that started now.
func New(now time.Duration) *Manager {
	return &Manager{
		startedAt: now,
		// Heartbeats come slower than one per millisecond, so the sequence goes on
		// growing over restarts of the agent.
		sequence:     uint64(now.Milliseconds()),
		attempts:     make(map[Attempt]*attemptState),
		inferredEnds: make(map[Attempt]*apiv1.TaskStatus),
	}
}

// Observation is what a worker said about itself at one time. Its parts must be
// read in this order: were the tasks read before a restart and the instance after it, the
// lost tasks would be reported as running under the new incarnation.
type Observation struct {
	Info *apiv1.WorkerInfo
	// Instance names the worker's present start; used when Info has no incarnation.
	Instance string
	Tasks    []*apiv1.TaskStatus
	// Reserved is what the host's targets take.
	Reserved Amount
	// WallClock is Unix nanoseconds, for an incarnation that grows.
	WallClock uint64
}

// Observe takes in what the worker said at a time and reports whether an attempt
// has ended since the last time.
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

// dropPreviousInstance drops what the worker's earlier instance ran. Starts that were not seen to
// succeed stay: they may have been sent to the new instance already.
func (m *Manager) dropPreviousInstance() {
	for k, h := range m.attempts {
		if h.status != nil {
			delete(m.attempts, k)
		}
	}
}

func (m *Manager) recordListed(now time.Duration, k Attempt, st *apiv1.TaskStatus) (ended bool) {
	h := m.attempts[k]
	if h == nil {
		h = &attemptState{firstSeen: now}
		m.attempts[k] = h
	}
	if st.Grant != nil {
		h.grant = st.Grant
	}
	if st.Checkpoint != "" {
		h.checkpoint = st.Checkpoint
	}
	was := h.ended()
	h.status, h.missing = st, false
	delete(m.inferredEnds, k) // What the worker reports precedes the agent's conclusion.
	return h.ended() && !was
}

// checkUnlisted looks at the attempts that the worker did not list. One that may still
// be started by a late message, or that the worker may yet be running, is over only
// when its deadline has passed: said earlier, the next attempt could run beside it.
func (m *Manager) checkUnlisted(now time.Duration, listed map[Attempt]bool) (ended bool) {
	for k, h := range m.attempts {
		switch {
		case listed[k]:
		case h.ended():
			delete(m.attempts, k) // Forgotten by the worker.
		case !m.expired(now, h):
			h.missing = h.status != nil
		default:
			message := "worker did not start it"
			if h.status != nil {
				message = "worker no longer lists it"
			}
			m.inferEnd(k, h.checkpoint, message)
			delete(m.attempts, k)
			ended = true
		}
	}
	return ended
}

// expired reports whether every deadline that an attempt may have is past.
func (m *Manager) expired(now time.Duration, h *attemptState) bool {
	if h.deadline > 0 {
		return now >= h.deadline
	}
	return m.longestLease > 0 && now >= h.firstSeen+m.longestLease
}

// startsSettled reports whether the starts that an earlier agent sent can no longer take
// effect. Before that an attempt which nobody lists may yet begin to run and take room.
func (m *Manager) startsSettled(now time.Duration) bool { return now >= m.startedAt+startWindow }

func (m *Manager) inferEnd(k Attempt, checkpoint, message string) {
	m.inferredEnds[k] = &apiv1.TaskStatus{
		Task:       k.proto(),
		Phase:      apiv1.TaskPhase_TASK_PHASE_STOPPED,
		Checkpoint: checkpoint,
		Message:    message,
	}
}

// Heartbeat returns the worker's part of a heartbeat that is sent now, nil while
// nothing certain is known of the worker. What runs is reported before anything starts.
//
// The leader registers no incarnation without the worker's info, so it is held back
// until the manager has settled: a start that an earlier agent sent may have reached a
// worker that restarted meanwhile, and is not listed yet. Leases under an
// incarnation that the leader knows are renewed all the same.
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
	for k, h := range m.attempts {
		if h.running() {
			b.running = append(b.running, k)
		}
		if h.status != nil && !h.missing {
			hb.Tasks = append(hb.Tasks, h.reportedStatus())
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

// conclusive reports whether an attempt that is not listed certainly does not run.
// A heartbeat with a new incarnation must be: the leader takes what it leaves out
// as ended and grants it anew, so a start that is still under way would run twice.
func (m *Manager) conclusive(now time.Duration) bool {
	if !m.identity.known || !m.identity.namedByWorker && !m.startsSettled(now) {
		return false
	}
	if m.registered {
		return true
	}
	for _, h := range m.attempts {
		if h.status == nil {
			return false
		}
	}
	return true
}

// reportedStatus is the worker's status, with the checkpoint filled in from the reply to the
// agent's own request where the worker names none.
func (h *attemptState) reportedStatus() *apiv1.TaskStatus {
	st := h.status
	if st.Checkpoint != "" || h.checkpoint == "" {
		return st
	}
	return &apiv1.TaskStatus{
		Task:          st.Task,
		Phase:         st.Phase,
		Checkpoint:    h.checkpoint,
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
