package place

import (
	"cmp"
	"slices"
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

// fullShare is the share of an unthrottled task in thousandths.
const fullShare = 1000

// attemptID names one attempt as a map key.
type attemptID struct {
	task    string
	attempt uint64
}

func idOf(a *apiv1.TaskAttempt) attemptID { return attemptID{a.GetTask(), a.GetAttempt()} }

// occupancyInterval is a period during which one attempt ran on a worker at one throttle share.
type occupancyInterval struct {
	id    attemptID
	kind  string
	share int32
	from  time.Time
	// to is zero while the interval is open.
	to time.Time
}

// occupancy is the bounded history of the attempts on a worker. Reports arrive late; if they were
// matched with the present tasks, their latency would be attributed to a task that started after
// the measurement and not to one that ended since.
type occupancy struct {
	// since is the start of the time that the history covers.
	since  time.Time
	open   map[attemptID]*occupancyInterval
	closed []occupancyInterval
}

func newOccupancy(now time.Time) *occupancy {
	return &occupancy{since: now, open: make(map[attemptID]*occupancyInterval)}
}

// enter opens an interval for an attempt unless one is open.
func (o *occupancy) enter(now time.Time, id attemptID, kind string, share int32) {
	if o.open[id] == nil {
		o.open[id] = &occupancyInterval{id: id, kind: kind, share: share, from: now}
	}
}

// closeAbsent closes the intervals of attempts that are not running.
func (o *occupancy) closeAbsent(now time.Time, running map[attemptID]bool) {
	for id, s := range o.open {
		if !running[id] {
			o.close(now, s)
		}
	}
}

// throttle closes an attempt's interval and opens one at another share.
func (o *occupancy) throttle(now time.Time, id attemptID, share int32) {
	s := o.open[id]
	if s == nil || s.share == share {
		return
	}
	o.close(now, s)
	o.open[id] = &occupancyInterval{id: id, kind: s.kind, share: share, from: now}
}

func (o *occupancy) close(now time.Time, s *occupancyInterval) {
	s.to = now
	o.closed = append(o.closed, *s)
	delete(o.open, s.id)
}

// prune removes closed intervals that ended before a time, and the oldest ones above a limit.
func (o *occupancy) prune(before time.Time, limit int) {
	o.closed = slices.DeleteFunc(o.closed, func(s occupancyInterval) bool { return s.to.Before(before) })
	if extra := len(o.closed) - limit; extra > 0 {
		o.since = o.closed[extra-1].to
		o.closed = slices.Delete(o.closed, 0, extra)
	}
	if o.since.Before(before) {
		o.since = before
	}
}

// presence is the amount of a kind beside a service in a window: the sum, over its tasks at one
// throttle share, of the fraction of the window during which each was present.
type presence struct {
	kind   string
	share  int32
	amount float64
}

// minOverlap is the smallest fraction of a window that counts as presence.
const minOverlap = 0.05

// during returns the presences in a window, ordered by kind, and false if the history does not
// cover the window's start.
func (o *occupancy) during(from, to time.Time) ([]presence, bool) {
	if from.Before(o.since) {
		return nil, false
	}
	var parts []presence
	add := func(s *occupancyInterval) {
		if part := s.overlap(from, to); part >= minOverlap {
			parts = append(parts, presence{kind: s.kind, share: s.share, amount: part})
		}
	}
	for i := range o.closed {
		add(&o.closed[i])
	}
	for _, s := range o.open {
		add(s)
	}
	// Sorting by amount makes the order of the floating-point sums, and so their results,
	// deterministic.
	slices.SortFunc(parts, func(a, b presence) int {
		return cmp.Or(cmp.Compare(a.kind, b.kind), cmp.Compare(a.share, b.share), cmp.Compare(a.amount, b.amount))
	})
	out := parts[:0]
	for _, p := range parts {
		if n := len(out); n > 0 && out[n-1].kind == p.kind && out[n-1].share == p.share {
			out[n-1].amount += p.amount
			continue
		}
		out = append(out, p)
	}
	return out, true
}

// overlap returns the fraction of a window that the interval covers, from 0 to 1.
func (s *occupancyInterval) overlap(from, to time.Time) float64 {
	start, end := s.from, s.to
	if start.Before(from) {
		start = from
	}
	if end.IsZero() || end.After(to) {
		end = to
	}
	window := to.Sub(from)
	if window <= 0 || !end.After(start) {
		return 0
	}
	return float64(end.Sub(start)) / float64(window)
}

// presentInWindow reports whether an attempt was present for at least half of a window.
func (o *occupancy) presentInWindow(id attemptID, from, to time.Time) bool {
	const half = 0.5
	covered := 0.0
	if s := o.open[id]; s != nil {
		covered += s.overlap(from, to)
	}
	for i := range o.closed {
		if o.closed[i].id == id {
			covered += o.closed[i].overlap(from, to)
		}
	}
	return covered >= half
}
