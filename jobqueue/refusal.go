package jobqueue

// Reasons with which an agent gives back a start that its worker refused since it can take
// no task for now.
const (
	RefusedNoCapacity = "no room"
	RefusedUnwilling  = "unwilling"
)
