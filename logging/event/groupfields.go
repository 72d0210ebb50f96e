package event

import (
	"time"

	"go.uber.org/zap"
)

// Fields of the control group.

// Leads says whether the process leads.
func Leads(yes bool) Field { return Field{zap.Bool("leads", yes)} }

// Leading says whether the replica leads from now on.
func Leading(yes bool) Field { return Field{zap.Bool("leading", yes)} }

// LeaderAddress is the leader's address, empty when none is known.
func LeaderAddress(address string) Field { return text("leader", address) }

// LeaderID is the leader's replica id.
func LeaderID(id uint64) Field { return number64("leader", id) }

// ReplicaID is the replica's own id, which stands for its disk.
func ReplicaID(id uint64) Field { return number64("id", id) }

// Voters is the number of replicas with a vote.
func Voters(n int) Field { return number("voters", n) }

// Heard is the number of voters that the leader heard lately, itself included.
func Heard(n int) Field { return number("heard", n) }

// Spares is the number of replicas that wait for a vote.
func Spares(n int) Field { return number("spares", n) }

// SilentVoters are the hosts of voters that don't answer.
func SilentVoters(hosts []string) Field { return Field{zap.Strings("silent_voters", hosts)} }

// DiskLost are the hosts of voters whose disk is gone.
func DiskLost(hosts []string) Field { return Field{zap.Strings("disk_lost", hosts)} }

// WorkerCount is a number of workers.
func WorkerCount(n int) Field { return number("workers", n) }

// Reachable is the number of workers heard of lately.
func Reachable(n int) Field { return number("reachable", n) }

// Waiting is the number of tasks that found no worker.
func Waiting(n int) Field { return number("waiting", n) }

// Since is how long the leader and term have been so.
func Since(d time.Duration) Field { return duration("since", d) }

// Change describes a change of the membership.
func Change(what string) Field { return text("change", what) }

// Peer is a replica's host.
func Peer(name string) Field { return text("peer", name) }

// ReplicaCount is a number of replicas.
func ReplicaCount(n int) Field { return number("replicas", n) }

// Bytes is a size.
func Bytes(n int) Field { return number("bytes", n) }

// File is a file of the log's storage.
func File(path string) Field { return text("file", path) }

// Offset is a place in a file, in bytes.
func Offset(at int64) Field { return Field{zap.Int64("offset", at)} }

// Fields of the coordinator.

// Attempt is the number of a task's attempt.
func Attempt(number uint64) Field { return number64("attempt", number) }

// AttemptCount is a number of attempts.
func AttemptCount(n int) Field { return number("attempts", n) }

// Command is the kind of a command.
func Command(name string) Field { return text("command", name) }

// Candidates is the number of workers that passed the filters.
func Candidates(n int) Field { return number("candidates", n) }

// Score is the chosen worker's.
func Score(s float64) Field { return Field{zap.Float64("score", s)} }

// Refused says how many workers each filter refused.
func Refused(byFilter any) Field { return Field{zap.Any("refused", byFilter)} }

// ShareMilli is the share that a throttled task keeps, in thousandths.
func ShareMilli(share int32) Field { return Field{zap.Int32("share_milli", share)} }
