package route

// limitStep is the fraction of the limit by which one refusal for lack of slots lowers it.
const limitStep = 0.02

// concurrencyLimit is the maximum number of requests of a service that this entry has in flight.
// Several entries share the targets' slots and none knows the use of all of them, so the limit is
// learned. Each refusal for lack of slots lowers it by a step. Each answer while the limit is in
// use raises it by RefusalShare of a step of an even share, which makes the limits of the entries
// converge. The limit reaches its equilibrium where that share of dispatches is refused, or at an
// even share of the slots.
//
// Latency does not change the limit: slots are the concurrency that a target declares, and a slow
// target keeps its slots in use anyway.
type concurrencyLimit struct {
	value float64
	max   float64
	// evenShare is this entry's part of the slots if all entries had the same number. min is the
	// lower bound of the limit: evenShare if the number of entries is known, otherwise 1.
	evenShare float64
	min       float64
}

// setBounds adjusts the limit to the number of slots of the targets in use and to the number of
// entries that share them, which is 0 if it is unknown.
func (l *concurrencyLimit) setBounds(slots float64, entries int) {
	old := l.max
	l.max = max(1, slots)
	l.evenShare = max(1, slots/max(1, float64(entries)))
	l.min = 1
	if entries > 0 {
		l.min = l.evenShare
	}
	if old <= 1 {
		l.value = l.evenShare
		return
	}
	l.value = max(l.min, min(l.max, l.value*l.max/old))
}

func (l *concurrencyLimit) allows(inFlight int) bool {
	return float64(inFlight+1) <= max(1, l.value)
}

// raise increases the limit after an answer if the limit is in use. share is RefusalShare.
func (l *concurrencyLimit) raise(inFlight int, share float64) {
	if float64(inFlight+1) < l.value {
		return
	}
	l.value = min(l.max, l.value+share*limitStep*l.evenShare)
}

// lower decreases the limit by a step, but not below an even share if the number of entries is
// known: with many entries each share is small, a full target is often a coincidence, and a lower
// limit would refuse requests for which the other entries leave slots free.
func (l *concurrencyLimit) lower() {
	l.value = max(l.min, l.value*(1-limitStep))
}
