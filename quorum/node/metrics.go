package node

import (
	"github.com/rcrowley/go-metrics"

	"github.com/cairnlift/cairnlift/quorum"
)

// metricSet holds a replica's metrics; docs/OPERATIONS.md describes them.
type metricSet struct {
	proposals       metrics.Counter
	overloaded      metrics.Counter
	unknown         metrics.Counter
	applied         metrics.Counter
	sent            metrics.Counter
	received        metrics.Counter
	misaddressed    metrics.Counter
	inboxDropped    metrics.Counter
	refused         metrics.Counter
	snapshotRefused metrics.Counter
	snapshotBytes   metrics.Gauge
	term            metrics.Gauge
	commit          metrics.Gauge
	appliedIndex    metrics.Gauge
	role            metrics.Gauge
	// voters, learners and votersResponsive are reported by a leader. votersLost, votersUnresponsive and
	// votersWithoutReplica are reported by a replica that knows no leader.
	voters               metrics.Gauge
	learners             metrics.Gauge
	votersResponsive     metrics.Gauge
	votersLost           metrics.Gauge
	votersUnresponsive   metrics.Gauge
	votersWithoutReplica metrics.Gauge
	// elections counts the elections that this replica won. lagEntries is the number of entries by
	// which the slowest voter lags behind a leader.
	elections  metrics.Counter
	lagEntries metrics.Gauge
	// slowDiskHandovers counts how often this replica transferred leadership to a voter with a
	// faster disk.
	slowDiskHandovers metrics.Counter
	// saveDuration is the duration of a synced write of entries, in microseconds.
	saveDuration metrics.Histogram
	// saveEntries is the number of entries in such a write.
	saveEntries metrics.Histogram
}

const histogramSamples = 1024

func histogram(name string, r metrics.Registry) metrics.Histogram {
	return metrics.GetOrRegisterHistogram(name, r, metrics.NewUniformSample(histogramSamples))
}

func newMetricSet(r metrics.Registry) metricSet {
	return metricSet{
		proposals:            metrics.GetOrRegisterCounter("quorum.proposals", r),
		overloaded:           metrics.GetOrRegisterCounter("quorum.proposals_overloaded", r),
		unknown:              metrics.GetOrRegisterCounter("quorum.proposals_unknown", r),
		applied:              metrics.GetOrRegisterCounter("quorum.entries_applied", r),
		sent:                 metrics.GetOrRegisterCounter("quorum.messages_sent", r),
		received:             metrics.GetOrRegisterCounter("quorum.messages_received", r),
		misaddressed:         metrics.GetOrRegisterCounter("quorum.messages_foreign", r),
		inboxDropped:         metrics.GetOrRegisterCounter("quorum.messages_inbox_dropped", r),
		refused:              metrics.GetOrRegisterCounter("quorum.messages_refused", r),
		snapshotRefused:      metrics.GetOrRegisterCounter("quorum.snapshots_too_large", r),
		snapshotBytes:        metrics.GetOrRegisterGauge("quorum.snapshot_bytes", r),
		term:                 metrics.GetOrRegisterGauge("quorum.term", r),
		commit:               metrics.GetOrRegisterGauge("quorum.commit", r),
		appliedIndex:         metrics.GetOrRegisterGauge("quorum.applied", r),
		role:                 metrics.GetOrRegisterGauge("quorum.role", r),
		voters:               metrics.GetOrRegisterGauge("quorum.voters", r),
		learners:             metrics.GetOrRegisterGauge("quorum.learners", r),
		votersResponsive:     metrics.GetOrRegisterGauge("quorum.voters_heard", r),
		votersLost:           metrics.GetOrRegisterGauge("quorum.voters_lost", r),
		votersUnresponsive:   metrics.GetOrRegisterGauge("quorum.voters_silent", r),
		votersWithoutReplica: metrics.GetOrRegisterGauge("quorum.voters_without_replica", r),
		slowDiskHandovers:    metrics.GetOrRegisterCounter("quorum.slow_disk_handovers", r),
		elections:            metrics.GetOrRegisterCounter("quorum.elections", r),
		lagEntries:           metrics.GetOrRegisterGauge("quorum.lag_entries", r),
		saveDuration:         histogram("quorum.save_microseconds", r),
		saveEntries:          histogram("quorum.save_entries", r),
	}
}

// updateGroupGauges sets the gauges of the group on a leader, and resets them on other replicas.
func (m *metricSet) updateGroupGauges(s quorum.Status, responsiveTicks int) {
	var g GroupSize
	if s.Role == quorum.Leader {
		g = groupSizeOf(s, responsiveTicks)
	}
	m.voters.Update(int64(g.Voters))
	m.learners.Update(int64(g.Spares))
	m.votersResponsive.Update(int64(g.Responsive))
	m.lagEntries.Update(int64(maxVoterLag(s)))
}
