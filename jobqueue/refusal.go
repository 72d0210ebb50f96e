package jobqueue

// Reasons that an agent reports when its worker refused a start because it temporarily accepts no
// task.
const (
	RefusedNoCapacity = "no room"
	RefusedUnwilling  = "unwilling"
)

// Refusal returns the reason for which a start is refused.
func (s Shortage) Refusal() string {
	switch s {
	case ShortageOutdated, ShortageUnknownRun:
		return s.String()
	}
	return RefusedNoCapacity
}
