package lease

import "time"

const (
	// maxUnrenewed is how many heartbeats in a row may renew nothing before the
	// incarnation is raised.
	maxUnrenewed = 5
	// minRaise is how much it is raised by, nanoseconds; each further time twice as much.
	minRaise = uint64(time.Hour)
)

// identity is the worker's incarnation. The leader takes a higher one as "started
// anew: what is not listed does not run", and refuses a lower one.
//
// A worker that names its incarnation keeps it over restarts of the agent. For any
// other the agent gives one out by the wall clock, when it starts and when the
// worker's instance changes. A clock that was set back would then give a lower one,
// and the host be shut out until the clock caught up; the agent notices that
// nothing is renewed and raises it.
type identity struct {
	known bool
	// namedByWorker says that the worker named the incarnation.
	namedByWorker bool
	incarnation   uint64
	instance      string

	unrenewed int
	lastRaise uint64
}

// observe reports whether the worker started anew since the last time.
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

// recordReply counts the heartbeats that renewed nothing, and reports whether they
// made it raise the incarnation.
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
