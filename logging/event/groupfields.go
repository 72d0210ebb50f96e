package event

import (
	"time"

	"go.uber.org/zap"
)

// Fields of the control group.

// IsLeader reports whether the process is the leader.
func IsLeader(yes bool) Field { return Field{zap.Bool(NameLeads, yes)} }

// BecameLeader reports whether the replica gained leadership; false means that it lost it.
func BecameLeader(yes bool) Field { return Field{zap.Bool("leading", yes)} }

// LeaderAddress is the address of the leader; empty if none is known.
func LeaderAddress(address string) Field { return stringField("leader", address) }

// LeaderID is the replica id of the leader.
func LeaderID(id uint64) Field { return uint64Field("leader", id) }

// ReplicaID is the id of a replica, which identifies its disk.
func ReplicaID(id uint64) Field { return uint64Field("id", id) }

// Voters is the number of voting replicas.
func Voters(n int) Field { return intField("voters", n) }

// RespondingVoters is the number of voters from which the leader recently received a message,
// including itself.
func RespondingVoters(n int) Field { return intField("heard", n) }

// Spares is the number of replicas without a vote.
func Spares(n int) Field { return intField("spares", n) }

// UnresponsiveVoters are the hosts of voters that do not respond.
func UnresponsiveVoters(hosts []string) Field { return Field{zap.Strings("silent_voters", hosts)} }

// DiskLost are the hosts of voters whose disk is lost.
func DiskLost(hosts []string) Field { return Field{zap.Strings("disk_lost", hosts)} }

// WithoutReplica are the hosts of voters that respond and have no replica for now.
func WithoutReplica(hosts []string) Field { return Field{zap.Strings("without_replica", hosts)} }

// WorkerCount is a number of workers.
func WorkerCount(n int) Field { return intField("workers", n) }

// Reachable is the number of workers with a recent report.
func Reachable(n int) Field { return intField("reachable", n) }

// WaitingTasks is the number of tasks for which there is no worker.
func WaitingTasks(n int) Field { return intField("waiting", n) }

// UnchangedFor is the time since the leader or the term last changed.
func UnchangedFor(d time.Duration) Field { return durationField("since", d) }

// Change describes a membership change.
func Change(description string) Field { return stringField("change", description) }

// Peer is the host of another replica.
func Peer(name string) Field { return stringField("peer", name) }

// ReplicaCount is a number of replicas.
func ReplicaCount(n int) Field { return intField("replicas", n) }

// Bytes is a size in bytes.
func Bytes(n int) Field { return intField("bytes", n) }

// File is a file in the storage of the replicated log.
func File(path string) Field { return stringField("file", path) }

// Offset is an offset in a file, in bytes.
func Offset(at int64) Field { return Field{zap.Int64("offset", at)} }

// Fields of the coordinator.

// Attempt is the number of an attempt of a task.
func Attempt(number uint64) Field { return uint64Field("attempt", number) }

// AttemptCount is a number of attempts.
func AttemptCount(n int) Field { return intField("attempts", n) }

// Command is the kind of a replicated command.
func Command(name string) Field { return stringField("command", name) }

// Candidates is the number of workers that passed the filters.
func Candidates(n int) Field { return intField("candidates", n) }

// Score is the score of the chosen worker.
func Score(s float64) Field { return Field{zap.Float64("score", s)} }

// Refused is the number of workers that each filter ruled out.
func Refused(byFilter any) Field { return Field{zap.Any("refused", byFilter)} }

// ShareMilli is the share of processors that a throttled task keeps, in thousandths.
func ShareMilli(share int32) Field { return Field{zap.Int32("share_milli", share)} }
