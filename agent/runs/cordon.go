package runs

import (
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

// cordonState is what the session knows of the orders about its worker's availability zone.
type cordonState struct {
	// term and revision are those of the newest answer of a leader that was used.
	term, revision uint64
	cordoned       bool
	// confirmedAt is when the last report was sent that a leader answered, and confirmedClockMs a reading
	// of the worker's clock before that: what the answer tells was in effect then, or later.
	confirmedAt      time.Time
	confirmedClockMs int64
}

// record records what a leader of a term answered about the zone; cordon is nil if there was no order
// about it, or if the leader does not know the worker. Answers overtake one another, so an older one
// changes nothing.
func (c *cordonState) record(term uint64, cordon *apiv1.ZoneCordon) {
	if cordon == nil || term < c.term || term == c.term && cordon.Revision < c.revision {
		return
	}
	c.term, c.revision, c.cordoned = term, cordon.Revision, cordon.Cordoned
}

// confirm records that a leader answered a report.
func (c *cordonState) confirm(sent time.Time, clockMs int64) {
	c.confirmedAt, c.confirmedClockMs = sent, clockMs
}

// cordonMayBeUnknown reports whether the zone may have been cordoned so long ago that nothing may start
// any more. The time is taken from the worker's clock too, since this host's may stand still while it is
// suspended. The caller must hold s.mu.
func (s *session) cordonMayBeUnknown(now time.Time) bool {
	byWorker := time.Duration(s.clock.ms-s.cordon.confirmedClockMs)*time.Millisecond + now.Sub(s.clock.received)
	age := max(now.Sub(s.cordon.confirmedAt), byWorker)
	return s.d.opts.MaxCordonAge > 0 && age > s.d.opts.MaxCordonAge
}
