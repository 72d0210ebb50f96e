package lease

import "time"

const (
	// maxUnrenewed is the number of consecutive heartbeats without a renewal after which the
	// incarnation is raised.
	maxUnrenewed = 5
	// minRaise is the amount of the first raise, in nanoseconds. Each further raise is twice the
	// last one.
	minRaise = uint64(time.Hour)
)

// identity determines the worker's incarnation. The leader takes a higher one to mean that the
// worker restarted and that tasks it does not list are not running, and refuses a lower one.
//
// A worker that names its incarnation keeps it over restarts of the agent. For any other worker,
// the agent assigns one from the wall clock when the agent starts and when the worker's instance
// changes. A clock that was set back would then give a lower incarnation, and the leader would
// refuse the host until the clock caught up. The agent therefore raises the incarnation when its
// heartbeats are no longer renewed.
type identity struct {
	known bool
	// namedByWorker: the worker named the incarnation.
	namedByWorker bool
	incarnation   uint64
	instance      string

	unrenewed int
	lastRaise uint64
}

// observe updates the incarnation from an observation and reports whether it changed.
func (id *identity) observe(o Observation) (changed bool) {
	named := o.Info.GetIncarnation()
	switch {
	case named != 0 && (!id.namedByWorker || named != id.incarnation):
		id.incarnation, changed = named, true
	case named == 0 && (!id.known || id.namedByWorker || o.Instance != id.instance):
		id.incarnation, changed = max(id.incarnation+1, o.WallClock), true
	}
	id.known, id.namedByWorker, id.instance = true, named != 0, o.Instance
	return changed
}

// recordReply counts consecutive heartbeats that renewed nothing, and reports whether it raised
// the incarnation.
func (id *identity) recordReply(renewed bool) (raised bool) {
	if renewed || id.namedByWorker {
		id.unrenewed = 0
		return false
	}
	id.unrenewed++
	if id.unrenewed < maxUnrenewed {
		return false
	}
	id.unrenewed = 0
	id.lastRaise = max(id.lastRaise*2, minRaise)
	id.incarnation += id.lastRaise
	return true
}
