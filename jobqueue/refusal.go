package jobqueue

// Reasons that an agent reports when its worker refused a start because it temporarily accepts no
// task.
const (
	RefusedNoCapacity = "no room"
	RefusedUnwilling  = "unwilling"
)
