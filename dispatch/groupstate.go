package dispatch

import (
	"context"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/cairnlift/cairnlift/control"
	"github.com/cairnlift/cairnlift/logging"
	"github.com/cairnlift/cairnlift/logging/event"
	"github.com/cairnlift/cairnlift/quorum/node"
	"github.com/cairnlift/cairnlift/state"
)

const (
	// stateCheckInterval is the time between two checks of the group's state as this control host
	// sees it, and so the longest delay of the line about a change.
	stateCheckInterval = 250 * time.Millisecond
	// stateRepeatInterval is the time after which the same state is logged again.
	stateRepeatInterval = 5 * time.Second
	// stateRepeatBytes bounds what the process logs between two such lines. It is a third of what
	// an incident's record keeps of a process, so that the record always contains one.
	stateRepeatBytes = 32 << 10
)

// groupState is the group's state as a control host sees it.
type groupState struct {
	term    uint64
	leader  string
	leads   bool
	size    node.GroupSize
	version uint64
	// workers are those that may get work, reachable those that reported lately. Both are known to
	// the leader only.
	workers, reachable int
}

// StateReporter logs the group's state as a control host sees it, periodically and at each change.
//
// Without the repetition, someone who has only the last part of a process's log can't tell who led,
// how many voters there were and which configuration was in effect, because the lines about these
// changes are older than that part.
type StateReporter struct {
	node             *node.Node
	replica          *control.Replica
	dispatcher       *Dispatcher
	logger           *zap.Logger
	configurationAge metrics.Gauge
	// loggedBytes is the number of bytes that the process has logged.
	loggedBytes metrics.Gauge

	last groupState
	// lastWritten is when the last line was written, and bytesAtLastWrite is loggedBytes at that
	// time. leaderSince is when the leader or the term last changed, configurationSince when the
	// configuration did.
	lastWritten, leaderSince, configurationSince time.Time
	bytesAtLastWrite                             int64
}

// NewStateReporter returns a reporter for a control host.
func NewStateReporter(
	n *node.Node, r *control.Replica, d *Dispatcher, registry metrics.Registry, log *zap.Logger,
) *StateReporter {
	now := time.Now()
	return &StateReporter{
		leaderSince: now, configurationSince: now,
		node: n, replica: r, dispatcher: d, logger: event.Group.Named(log),
		configurationAge: metrics.GetOrRegisterGauge("group.configuration_age_ms", registry),
		loggedBytes:      metrics.GetOrRegisterGauge(logging.MetricBytes, registry),
	}
}

// Run reports until ctx ends.
func (s *StateReporter) Run(ctx context.Context) {
	ticker := time.NewTicker(stateCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			s.check(now)
		}
	}
}

func (s *StateReporter) check(now time.Time) {
	status := s.dispatcher.Status()
	current := groupState{
		leader: s.node.LeaderAddress(), size: s.node.GroupSize(), workers: status.Workers, reachable: status.Reachable,
	}
	current.term, current.leads = s.replica.Leading()
	s.replica.ReadState(func(m *state.Machine) { current.version = m.CallerJobs().Configuration().GetVersion() })
	if current.term != s.last.term || current.leader != s.last.leader {
		s.leaderSince = now
	}
	if current.version != s.last.version {
		s.configurationSince = now
	}
	s.configurationAge.Update(now.Sub(s.configurationSince).Milliseconds())
	logged := s.loggedBytes.Value()
	if !s.due(current, now, logged) {
		return
	}
	s.last, s.lastWritten, s.bytesAtLastWrite = current, now, logged
	event.GroupState.Write(s.logger,
		event.Term(current.term), event.LeaderAddress(current.leader), event.IsLeader(current.leads), event.UnchangedFor(now.Sub(s.leaderSince)),
		event.Voters(current.size.Voters), event.RespondingVoters(current.size.Responsive), event.Spares(current.size.Spares),
		event.Version(current.version), event.WorkerCount(current.workers), event.Reachable(current.reachable),
		event.WaitingTasks(status.Waiting))
}

// due reports whether a line is to be written: the state has changed, the last line is older than
// stateRepeatInterval, or stateRepeatBytes were logged after it.
func (s *StateReporter) due(current groupState, now time.Time, logged int64) bool {
	return current != s.last || now.Sub(s.lastWritten) >= stateRepeatInterval || logged-s.bytesAtLastWrite >= stateRepeatBytes
}
