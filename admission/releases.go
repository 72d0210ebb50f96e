package admission

import "time"

// Release is when processors that running tasks hold become free.
type Release struct {
	In time.Duration
	// CoreMilli are the processors, in thousandths.
	CoreMilli int64
}

// maxReleaseSteps bounds the steps of a prediction. What is left then is counted at the fleet's mean rate.
const maxReleaseSteps = 256

// processorQueue are the processors in the order in which they become free: those of the tasks that run now,
// and those of the tasks that are predicted to run after them, each in order.
type processorQueue struct {
	now, later []Release
}

// take removes processors, at most the given ones, that become free first, and holds them for some time.
func (q *processorQueue) take(coreMilli int64, hold time.Duration) Release {
	from := &q.now
	if len(q.now) == 0 || len(q.later) > 0 && q.later[0].In < q.now[0].In {
		from = &q.later
	}
	first := &(*from)[0]
	taken := Release{In: first.In, CoreMilli: min(coreMilli, first.CoreMilli)}
	if first.CoreMilli -= taken.CoreMilli; first.CoreMilli == 0 {
		*from = (*from)[1:]
	}
	q.later = append(q.later, Release{In: taken.In + hold, CoreMilli: taken.CoreMilli})
	return taken
}

// startsIn predicts in which time the tasks of the widest step of a job have all started: those ahead of it
// get the processors that become free first, and hold them for their mean duration. known is false if the
// releases are not known.
func (b Backlog) startsIn(r Request) (wait time.Duration, known bool) {
	total := b.FreeMilli
	for _, release := range b.Releases {
		total += release.CoreMilli
	}
	if total <= 0 || r.Width <= 0 {
		return 0, false
	}
	// Tasks hold their processors for longer than they are expected to work by this factor.
	slowness := 1.0
	if b.Trusted && b.Drain.CoreMs > 0 {
		slowness = float64(total) / float64(b.Drain.CoreMs)
	}
	hold := scale(b.Ahead.meanDuration(), slowness)
	q := processorQueue{now: b.processors()}
	left := b.Ahead.Slots
	for step := 0; left > 0; step++ {
		if step == maxReleaseSteps || hold <= 0 {
			return wait + timeFor(left*int64(hold)/int64(time.Second), total), true
		}
		taken := q.take(left, hold)
		left, wait = left-taken.CoreMilli, taken.In
	}
	for left = min(r.Width, total); left > 0; {
		taken := q.take(left, maxTime)
		left, wait = left-taken.CoreMilli, taken.In
	}
	return wait, true
}

// processors returns all processors in the order in which they become free.
func (b Backlog) processors() []Release {
	list := make([]Release, 0, len(b.Releases)+1)
	if b.FreeMilli > 0 {
		list = append(list, Release{CoreMilli: b.FreeMilli})
	}
	for _, release := range b.Releases {
		if release.CoreMilli > 0 {
			list = append(list, release)
		}
	}
	return list
}

// meanDuration returns the mean duration of the tasks that reserve processors, by the processors.
func (w Work) meanDuration() time.Duration {
	if w.Slots <= 0 {
		return 0
	}
	return time.Duration(float64(w.CoreMs) / float64(w.Slots) * 1000 * float64(time.Millisecond))
}
