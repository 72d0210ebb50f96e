package event

import (
	"time"

	"go.uber.org/zap"
)

// Fields of the control group.

// IsLeader says whether the process leads.
func IsLeader(yes bool) Field { return Field{zap.Bool("leads", yes)} }

// BecameLeader says whether the replica leads from now on.
func BecameLeader(yes bool) Field { return Field{zap.Bool("leading", yes)} }

// LeaderAddress is the leader's address, empty when none is known.
func LeaderAddress(address string) Field { return stringField("leader", address) }

// LeaderID is the leader's replica id.
func LeaderID(id uint64) Field { return uint64Field("leader", id) }

// ReplicaID is the replica's own id, which stands for its disk.
func ReplicaID(id uint64) Field { return uint64Field("id", id) }

// Voters is the number of replicas with a vote.
func Voters(n int) Field { return intField("voters", n) }

// RespondingVoters is the number of voters that the leader heard lately, itself included.
func RespondingVoters(n int) Field { return intField("heard", n) }

// Spares is the number of replicas that wait for a vote.
func Spares(n int) Field { return intField("spares", n) }

// UnresponsiveVoters are the hosts of voters that don't answer.
func UnresponsiveVoters(hosts []string) Field { return Field{zap.Strings("silent_voters", hosts)} }

// DiskLost are the hosts of voters whose disk is gone.
func DiskLost(hosts []string) Field { return Field{zap.Strings("disk_lost", hosts)} }

// WorkerCount is a number of workers.
func WorkerCount(n int) Field { return intField("workers", n) }

// Reachable is the number of workers heard of lately.
func Reachable(n int) Field { return intField("reachable", n) }

// WaitingTasks is the number of tasks that found no worker.
func WaitingTasks(n int) Field { return intField("waiting", n) }

// UnchangedFor is how long the leader and term have been so.
func UnchangedFor(d time.Duration) Field { return durationField("since", d) }

// Change describes a change of the membership.
func Change(what string) Field { return stringField("change", what) }

// Peer is a replica's host.
func Peer(name string) Field { return stringField("peer", name) }

// ReplicaCount is a number of replicas.
func ReplicaCount(n int) Field { return intField("replicas", n) }

// Bytes is a size.
func Bytes(n int) Field { return intField("bytes", n) }

// File is a file of the log's storage.
func File(path string) Field { return stringField("file", path) }

// Offset is a place in a file, in bytes.
func Offset(at int64) Field { return Field{zap.Int64("offset", at)} }

// Fields of the coordinator.

// Attempt is the number of a task's attempt.
func Attempt(number uint64) Field { return uint64Field("attempt", number) }

// AttemptCount is a number of attempts.
func AttemptCount(n int) Field { return intField("attempts", n) }

// Command is the kind of a command.
func Command(name string) Field { return stringField("command", name) }

// Candidates is the number of workers that passed the filters.
func Candidates(n int) Field { return intField("candidates", n) }

// Score is the chosen worker's.
func Score(s float64) Field { return Field{zap.Float64("score", s)} }

// Refused says how many workers each filter refused.
func Refused(byFilter any) Field { return Field{zap.Any("refused", byFilter)} }

// ShareMilli is the share that a throttled task keeps, in thousandths.
func ShareMilli(share int32) Field { return Field{zap.Int32("share_milli", share)} }
