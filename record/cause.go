package record

import (
	"strconv"
	"strings"

	"github.com/cairnlift/cairnlift/logging/event"
	"github.com/cairnlift/cairnlift/schedule"
)

// Cause is the reason for which time was lost.
type Cause int

// The causes, in display order.
const (
	// Working is time of runs at full speed.
	Working Cause = iota
	// NoLeader is time without a leader to give orders.
	NoLeader
	// WaitsForCapacity is time in which most workers were ruled out for other reasons than
	// interference: they lacked free processors, memory or accelerators, had enough tasks of the
	// step already, or were unreachable, for instance.
	WaitsForCapacity
	// WaitsForInterference is time in which most workers were ruled out since the task would have
	// lengthened the tail latencies there too much, or would have run too slowly.
	WaitsForInterference
	// WaitsForCordon is time in which most workers were ruled out since their availability zones were
	// cordoned.
	WaitsForCordon
	// NotPlanned is time from the submission of a job, or from the end of the steps before, to the
	// first decision about a step: a start, or a line about its wait. It is also time in which the
	// planner did not see that a task waits.
	NotPlanned
	// WaitsUnexplained is time before a start for which no line gives a reason.
	WaitsUnexplained
	// OrderedNotBegun is time from an ordered start to its acceptance by the worker, or to its refusal.
	OrderedNotBegun
	// WorkerSilent is time from the last report of a worker to the line about the loss of its runs, and
	// time in which the worker did not list a run.
	WorkerSilent
	// LeaderUninformed is time in which a worker had not reported yet since the leader was ready or
	// resumed after a pause.
	LeaderUninformed
	// SlowedDown is the time that runs lost to paces below full speed.
	SlowedDown
	// Moved is time from a stop for a move to another worker to the next start.
	Moved
	// WorkerLost is time from the loss of a run with its worker to the next start.
	WorkerLost
	// Failed is time from the failure of a run to the next start.
	Failed
	// OverObjective is time with a tail latency that exceeds its objective.
	OverObjective
	numCauses
)

var causeNames = [numCauses]string{
	"working", "leader away", "waits for room", "waits, disturbs", "waits, zone cordoned", "not yet planned", "waits, unexplained",
	"ordered, not begun", "host silent", "leader uninformed", "slowed down", "moved", "host gone", "failed", "over objective",
}

// String returns the name of the cause in tables.
func (c Cause) String() string { return causeNames[c] }

// waitCause returns the cause that ruled out most workers, given the reasons in a line about a
// waiting step, such as "disturbs 8, memory 3".
func waitCause(workers string) Cause {
	capacity, interference, cordoned := 0, 0, 0
	for reason := range strings.SplitSeq(workers, ", ") {
		space := strings.LastIndexByte(reason, ' ')
		if space < 0 {
			continue
		}
		n, err := strconv.Atoi(reason[space+1:])
		if err != nil {
			continue // not a count of workers, for instance in a line from another program
		}
		switch reason[:space] {
		case schedule.ReasonInterference.String(), schedule.ReasonSlow.String():
			interference += n
		case schedule.ReasonCordoned.String():
			cordoned += n
		default:
			capacity += n
		}
	}
	switch {
	case capacity+interference+cordoned == 0:
		return WaitsUnexplained
	case cordoned > max(capacity, interference):
		return WaitsForCordon
	case interference >= capacity:
		return WaitsForInterference
	}
	return WaitsForCapacity
}

// outageCause returns the cause of a reason in a line about a long-running task that does not run.
func outageCause(reason string) Cause {
	switch reason {
	case event.OutageUnplanned:
		return NotPlanned
	case event.OutageOrdered:
		return OrderedNotBegun
	case event.OutageCrashLimit:
		return Failed
	case event.OutageWorkerUnresponsive, event.OutageUnlisted:
		return WorkerSilent
	case event.OutageNewLeader, event.OutagePaused:
		return LeaderUninformed
	}
	return waitCause(reason)
}

// Causes returns all causes in display order.
func Causes() []Cause {
	list := make([]Cause, numCauses)
	for i := range list {
		list[i] = Cause(i)
	}
	return list
}
