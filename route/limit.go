package route

// limitStep is the share of the limit that one refusal for lack of slots takes.
const limitStep = 0.02

// concurrencyLimit is the number of requests of a service that this entry has in flight at
// a time. Several entries share the targets' slots and none sees them all, so
// the limit is learnt: each refusal for lack of slots lowers it by a step, each
// answer while it is in use raises it by the refusal share of a step of an even
// share, which draws the entries' limits together. It settles where that share of
// dispatches is refused, or at an even share of the slots. Latency does not move
// it: slots are the concurrency that a target declares, and a slow target keeps its
// slots busy by itself.
type concurrencyLimit struct {
	value float64
	max   float64
	// evenShare is this entry's share of the slots if all entries had the same, floor
	// the least limit: the even share where the entries are known.
	evenShare float64
	min       float64
}

// setBounds follows a change of the slots in sight and of the entries that share
// them, 0 when they are unknown.
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

func (l *concurrencyLimit) raise(inFlight int, share float64) {
	if float64(inFlight+1) < l.value {
		return
	}
	l.value = min(l.max, l.value+share*limitStep*l.evenShare)
}

// lower stops at an even share: with many entries each share is small, a full
// target is often chance, and a lower limit would refuse what the others leave free.
func (l *concurrencyLimit) lower() {
	l.value = max(l.min, l.value*(1-limitStep))
}
