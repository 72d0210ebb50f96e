package place

import (
	"cmp"
	"slices"
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

// fullShare is an unthrottled task's share in thousandths.
const fullShare = 1000

// attemptID names one attempt as a map key.
type attemptID struct {
	task    string
	attempt uint64
}

func idOf(a *apiv1.TaskAttempt) attemptID { return attemptID{a.GetTask(), a.GetAttempt()} }

// occupancyInterval is one attempt's time on a worker at one throttle share.
type occupancyInterval struct {
	id    attemptID
	kind  string
	share int32
	from  time.Time
	// to is zero while the attempt is still there.
	to time.Time
}

// occupancy is the bounded history of who was on a worker when. Reports arrive
// late; matched with who is there now they would blame a task that came after
// the measurement, and clear the one that has left.
type occupancy struct {
	// since is the first moment the history covers.
	since  time.Time
	open   map[attemptID]*occupancyInterval
	closed []occupancyInterval
}

func newOccupancy(now time.Time) *occupancy {
	return &occupancy{since: now, open: make(map[attemptID]*occupancyInterval)}
}

// enter notes that an attempt is on the worker from now on.
func (o *occupancy) enter(now time.Time, id attemptID, kind string, share int32) {
	if o.open[id] == nil {
		o.open[id] = &occupancyInterval{id: id, kind: kind, share: share, from: now}
	}
}

// closeAbsent ends the stays of attempts that are not among those running.
func (o *occupancy) closeAbsent(now time.Time, running map[attemptID]bool) {
	for id, s := range o.open {
		if !running[id] {
			o.close(now, s)
		}
	}
}

// throttle starts a new stay of the same attempt at another share.
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

// prune forgets stays that ended before a time, and the oldest above a limit.
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

// presence is how much of a kind was beside a service in a window: the sum over
// its tasks at one throttle share of the part of the window that each was there.
type presence struct {
	kind   string
	share  int32
	amount float64
}

// minOverlap is the least part of a window that counts as having been there.
const minOverlap = 0.05

// during returns who was there in a window, ordered by kind, and false when the
// history does not reach back to its start.
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
	// Sorted by amount too, so that the sums come out alike in every run.
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

// overlap is the part of a window that the stay covers, 0 to 1.
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

// presentInWindow reports whether an attempt covered at least half of a window.
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
