package jobqueue

// Reasons that an agent reports when a start was refused because the worker temporarily gets no task.
const (
	RefusedNoCapacity = "no room"
	RefusedUnwilling  = "unwilling"
	// RefusedCordoned: the worker's availability zone was cordoned before the start was sent.
	RefusedCordoned = "zone cordoned"
)

// Refusal returns the reason for which a start is refused.
func (s Shortage) Refusal() string {
	switch s {
	case ShortageOutdated, ShortageUnknownRun:
		return s.String()
	}
	return RefusedNoCapacity
}
