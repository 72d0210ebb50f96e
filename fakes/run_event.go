package fakes

import (
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

// EventKind names what a RunEvent tells.
type EventKind string

// The kinds of RunEvent.
const (
	EventWorkerStart EventKind = "worker-start"
	EventStart       EventKind = "start"
	EventRenew       EventKind = "renew"
	EventThrottle    EventKind = "throttle"
	EventCheckpoint  EventKind = "checkpoint"
	EventEnd         EventKind = "end"
)

// Why a run ended.
const (
	EndReasonSucceeded = "succeeded"
	EndReasonFailed    = "failed"
	EndReasonStopped   = "stopped"
	EndReasonExpired   = "lease expired"
)

// RunEvent is one line of a worker's record. Times are readings of the boot
// clock, which the workers of one host share.
type RunEvent struct {
	Kind        EventKind     `json:"kind"`
	Worker      string        `json:"worker"`
	Incarnation uint64        `json:"incarnation"`
	At          time.Duration `json:"at_ns"`
	Task        string        `json:"task,omitempty"`
	Attempt     uint64        `json:"attempt,omitempty"`
	Deadline    time.Duration `json:"deadline_ns,omitempty"`
	Checkpoint  string        `json:"checkpoint,omitempty"`
	EndReason   string        `json:"why,omitempty"`
	ShareMilli  int64         `json:"share_milli,omitempty"`
	Grant       Amount        `json:"grant"`
	Capacity    Amount        `json:"capacity"`
}

// Amount is an amount of what a worker has, in a form that can be compared.
type Amount struct {
	MilliProcessors int64 `json:"milli_processors,omitempty"`
	MemoryBytes     int64 `json:"memory_bytes,omitempty"`
	Accelerators    int64 `json:"accelerators,omitempty"`
}

func amountOf(r *apiv1.Resources) Amount {
	return Amount{r.GetMilliProcessors(), r.GetMemoryBytes(), r.GetAccelerators()}
}

func (a Amount) plus(b Amount) Amount {
	return Amount{
		MilliProcessors: a.MilliProcessors + b.MilliProcessors,
		MemoryBytes:     a.MemoryBytes + b.MemoryBytes,
		Accelerators:    a.Accelerators + b.Accelerators,
	}
}

func (a Amount) within(b Amount) bool {
	return a.MilliProcessors <= b.MilliProcessors && a.MemoryBytes <= b.MemoryBytes && a.Accelerators <= b.Accelerators
}
