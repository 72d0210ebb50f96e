package record

import (
	"strconv"
	"strings"

	"github.com/cairnlift/cairnlift/schedule"
)

// Cause is why time was lost.
type Cause int

// The causes, in the order in which they are shown.
const (
	// Working is time at work at full speed.
	Working Cause = iota
	// LeaderlessTime is time in which no leader gave orders.
	NoLeader
	// WaitsForCapacity is time in which each worker lacked processors, memory or accelerators,
	// had enough tasks of the step already, or was out of reach.
	WaitsForCapacity
	// WaitsForInterference is time in which most workers were ruled out since the task would have
	// disturbed what serves there, or would have gone too slowly.
	WaitsForInterference
	// WaitsUnexplained is time before a start that no line explains.
	WaitsUnexplained
	// SlowedDown is what paces took of the time at work.
	SlowedDown
	// Moved is time from a stop for a better place to the next start.
	Moved
	// WorkerLost is time from the loss of a worker to the next start.
	WorkerLost
	// Failed is time from a failure to the next start.
	Failed
	// OverObjective is time with a tail over its objective.
	OverObjective
	numCauses
)

var causeNames = [numCauses]string{
	"working", "leader away", "waits for room", "waits, disturbs", "waits, unexplained", "slowed down", "moved", "host gone",
	"failed", "over objective",
}

// String returns the cause's name in tables.
func (c Cause) String() string { return causeNames[c] }

// waitCause is the cause that ruled out most workers, given what a line on a waiting step
// says, such as "disturbs 8, memory 3".
func waitCause(workers string) Cause {
	room, disturbs := 0, 0
	for reason := range strings.SplitSeq(workers, ", ") {
		space := strings.LastIndexByte(reason, ' ')
		if space < 0 {
			continue
		}
		n, err := strconv.Atoi(reason[space+1:])
		if err != nil {
			continue // Another program's line: it explains nothing.
		}
		switch reason[:space] {
		case schedule.ReasonInterference.String(), schedule.ReasonSlow.String():
			disturbs += n
		default:
			room += n
		}
	}
	switch {
	case room+disturbs == 0:
		return WaitsUnexplained
	case disturbs >= room:
		return WaitsForInterference
	}
	return WaitsForCapacity
}

// Causes returns all causes, in the order in which they are shown.
func Causes() []Cause {
	list := make([]Cause, numCauses)
	for i := range list {
		list[i] = Cause(i)
	}
	return list
}
