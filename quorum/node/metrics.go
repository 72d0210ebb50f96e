package node

import (
	"github.com/rcrowley/go-metrics"

	"github.com/cairnlift/cairnlift/quorum"
)

// meters are what a replica counts; docs/OPERATIONS.md says what they mean.
type meters struct {
	proposals       metrics.Counter
	overloaded      metrics.Counter
	unknown         metrics.Counter
	applied         metrics.Counter
	sent            metrics.Counter
	received        metrics.Counter
	foreign         metrics.Counter
	inboxDropped    metrics.Counter
	refused         metrics.Counter
	snapshotRefused metrics.Counter
	snapshotBytes   metrics.Gauge
	term            metrics.Gauge
	commit          metrics.Gauge
	appliedIndex    metrics.Gauge
	role            metrics.Gauge
	// voters, learners and votersHeard are what a leader sees; votersLost and
	// votersSilent what a replica found that knows no leader.
	voters       metrics.Gauge
	learners     metrics.Gauge
	votersHeard  metrics.Gauge
	votersLost   metrics.Gauge
	votersSilent metrics.Gauge
	// elections counts those that this replica won; lag is how far a leader's slowest
	// voter is behind, in entries.
	elections metrics.Counter
	lag       metrics.Gauge
	// slowHandovers counts how often this replica left the leadership to a faster disk.
	slowHandovers metrics.Counter
	// save is the time that a synced write of entries takes, in microseconds.
	save metrics.Histogram
	// batch is the number of entries in such a write.
	batch metrics.Histogram
}

const samples = 1024

func histogram(name string, r metrics.Registry) metrics.Histogram {
	return metrics.GetOrRegisterHistogram(name, r, metrics.NewUniformSample(samples))
}

func newMeters(r metrics.Registry) meters {
	return meters{
		proposals:       metrics.GetOrRegisterCounter("quorum.proposals", r),
		overloaded:      metrics.GetOrRegisterCounter("quorum.proposals_overloaded", r),
		unknown:         metrics.GetOrRegisterCounter("quorum.proposals_unknown", r),
		applied:         metrics.GetOrRegisterCounter("quorum.entries_applied", r),
		sent:            metrics.GetOrRegisterCounter("quorum.messages_sent", r),
		received:        metrics.GetOrRegisterCounter("quorum.messages_received", r),
		foreign:         metrics.GetOrRegisterCounter("quorum.messages_foreign", r),
		inboxDropped:    metrics.GetOrRegisterCounter("quorum.messages_inbox_dropped", r),
		refused:         metrics.GetOrRegisterCounter("quorum.messages_refused", r),
		snapshotRefused: metrics.GetOrRegisterCounter("quorum.snapshots_too_large", r),
		snapshotBytes:   metrics.GetOrRegisterGauge("quorum.snapshot_bytes", r),
		term:            metrics.GetOrRegisterGauge("quorum.term", r),
		commit:          metrics.GetOrRegisterGauge("quorum.commit", r),
		appliedIndex:    metrics.GetOrRegisterGauge("quorum.applied", r),
		role:            metrics.GetOrRegisterGauge("quorum.role", r),
		voters:          metrics.GetOrRegisterGauge("quorum.voters", r),
		learners:        metrics.GetOrRegisterGauge("quorum.learners", r),
		votersHeard:     metrics.GetOrRegisterGauge("quorum.voters_heard", r),
		votersLost:      metrics.GetOrRegisterGauge("quorum.voters_lost", r),
		votersSilent:    metrics.GetOrRegisterGauge("quorum.voters_silent", r),
		slowHandovers:   metrics.GetOrRegisterCounter("quorum.slow_disk_handovers", r),
		elections:       metrics.GetOrRegisterCounter("quorum.elections", r),
		lag:             metrics.GetOrRegisterGauge("quorum.lag_entries", r),
		save:            histogram("quorum.save_microseconds", r),
		batch:           histogram("quorum.save_entries", r),
	}
}

// measureGroup updates the gauges of a leader's view, and zeroes them on others.
func (m *meters) measureGroup(s quorum.Status, recentTicks int) {
	var g GroupSize
	if s.Role == quorum.Leader {
		g = groupSizeOf(s, recentTicks)
	}
	m.voters.Update(int64(g.Voters))
	m.learners.Update(int64(g.Spares))
	m.votersHeard.Update(int64(g.Heard))
	m.lag.Update(int64(lagOf(s)))
}
