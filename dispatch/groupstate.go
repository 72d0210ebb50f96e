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
	// stateCheckInterval is the time between two looks at what a control host believes; a change
	// gets a line no later.
	stateCheckInterval = 250 * time.Millisecond
	// stateRepeatInterval is the time between two lines that say the same.
	stateRepeatInterval = 5 * time.Second
	// stateRepeatBytes is what the process logs between two such lines at most: a third of
	// what an incident's record keeps of a process, so that it always holds one.
	stateRepeatBytes = 32 << 10
)

// groupState is what a control host believes.
type groupState struct {
	term    uint64
	leader  string
	leads   bool
	size    node.GroupSize
	version uint64
	// workers are those that may get work, reachable those heard of lately; the leader
	// alone knows them.
	workers, reachable int
}

// StateReporter repeats what a control host believes, every some seconds and at each
// change.
//
// What goes wrong without it: whoever gets only the last part of a process's lines
// can't tell who led, how many voters were there and which configuration was in force,
// as the lines of these changes are older than what he has.
type StateReporter struct {
	node             *node.Node
	replica          *control.Replica
	dispatcher       *Dispatcher
	logger           *zap.Logger
	configurationAge metrics.Gauge
	// loggedBytes is what the process has logged so far.
	loggedBytes metrics.Gauge

	last groupState
	// lastWritten is when the last line was written, loggedAt after how many bytes; leaderSince is
	// since when leader and term are as they are, configurationSince the configuration.
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
	standing := s.dispatcher.Status()
	seen := groupState{
		leader: s.node.LeaderAddress(), size: s.node.GroupSize(), workers: standing.Workers, reachable: standing.Reachable,
	}
	seen.term, seen.leads = s.replica.Leading()
	s.replica.ReadState(func(m *state.Machine) { seen.version = m.CallerJobs().Configuration().GetVersion() })
	if seen.term != s.last.term || seen.leader != s.last.leader {
		s.leaderSince = now
	}
	if seen.version != s.last.version {
		s.configurationSince = now
	}
	s.configurationAge.Update(now.Sub(s.configurationSince).Milliseconds())
	logged := s.loggedBytes.Value()
	if !s.due(seen, now, logged) {
		return
	}
	s.last, s.lastWritten, s.bytesAtLastWrite = seen, now, logged
	event.StateOfGroup.Write(s.logger,
		event.Term(seen.term), event.LeaderAddress(seen.leader), event.Leads(seen.leads), event.Since(now.Sub(s.leaderSince)),
		event.Voters(seen.size.Voters), event.Heard(seen.size.Responsive), event.Spares(seen.size.Spares),
		event.Version(seen.version), event.WorkerCount(seen.workers), event.Reachable(seen.reachable),
		event.Waiting(standing.Waiting))
}

// due reports whether a line is to be written: what is seen has changed, or the last
// line is old, or so many bytes were logged after it.
func (s *StateReporter) due(seen groupState, now time.Time, logged int64) bool {
	return seen != s.last || now.Sub(s.lastWritten) >= stateRepeatInterval || logged-s.bytesAtLastWrite >= stateRepeatBytes
}
