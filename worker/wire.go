package worker

import (
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

// Paths of the worker's HTTP API. Request and response bodies are JSON.
const (
	PathInfo       = "/v1/info"
	PathTasks      = "/v1/tasks"
	PathUsage      = "/v1/usage"
	PathStart      = "/v1/start"
	PathRenew      = "/v1/renew"
	PathThrottle   = "/v1/throttle"
	PathCheckpoint = "/v1/checkpoint"
	PathStop       = "/v1/stop"
	PathForget     = "/v1/forget"
)

// JSON encodes a protobuf message as a JSON value.
type JSON[M proto.Message] struct{ Message M }

// Wrap returns messages as JSON values.
func Wrap[M proto.Message](messages []M) []JSON[M] {
	out := make([]JSON[M], len(messages))
	for i, m := range messages {
		out[i].Message = m
	}
	return out
}

// Unwrap returns the messages of JSON values.
func Unwrap[M proto.Message](values []JSON[M]) []M {
	out := make([]M, len(values))
	for i, v := range values {
		out[i] = v.Message
	}
	return out
}

// MarshalJSON implements json.Marshaler.
func (j JSON[M]) MarshalJSON() ([]byte, error) { return protojson.Marshal(j.Message) }

// UnmarshalJSON implements json.Unmarshaler.
func (j *JSON[M]) UnmarshalJSON(b []byte) error {
	j.Message = j.Message.ProtoReflect().Type().New().Interface().(M)
	return protojson.Unmarshal(b, j.Message)
}

// InfoReply is the response to PathInfo.
type InfoReply struct {
	Info JSON[*apiv1.WorkerInfo] `json:"info"`
}

// TasksReply is the response to PathTasks.
type TasksReply struct {
	Tasks []JSON[*apiv1.TaskStatus] `json:"tasks"`
}

// UsageReply is the response to PathUsage.
type UsageReply struct {
	Reports []JSON[*apiv1.UsageReport] `json:"reports"`
}

// StartRequest starts an attempt that runs until a reading of the boot clock in nanoseconds.
type StartRequest struct {
	Task       JSON[*apiv1.StartTask] `json:"task"`
	DeadlineNS int64                  `json:"deadline_ns"`
}

// RenewRequest moves deadlines forward.
type RenewRequest struct {
	Tasks      []JSON[*apiv1.TaskAttempt] `json:"tasks"`
	DeadlineNS int64                      `json:"deadline_ns"`
}

// ThrottleRequest limits a task to a share of its grant.
type ThrottleRequest struct {
	Task JSON[*apiv1.ThrottleTask] `json:"task"`
}

// TaskRequest names the attempt to checkpoint or stop.
type TaskRequest struct {
	Task JSON[*apiv1.TaskAttempt] `json:"task"`
}

// ForgetRequest names ended attempts.
type ForgetRequest struct {
	Tasks []JSON[*apiv1.TaskAttempt] `json:"tasks"`
}

// CheckpointReply names a durable checkpoint.
type CheckpointReply struct {
	Checkpoint string `json:"checkpoint"`
}

// ErrorReply is the response body of every status other than 200.
type ErrorReply struct {
	Code    Code   `json:"code"`
	Message string `json:"message"`
}
