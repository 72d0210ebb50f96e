package main

import (
	"math/rand/v2"
	"os"
	"path/filepath"

	"google.golang.org/protobuf/proto"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/quorum"
	"github.com/cairnlift/cairnlift/quorum/wal"
)

const replicas = 5

// logGroup is a group of five log replicas in memory, without disks. Their messages are encoded
// and decoded as on the wire.
type logGroup struct {
	rafts  []*quorum.Raft
	leader *quorum.Raft
	// bytes counts the encoded messages of all replicas.
	bytes int
}

func newLogGroup() *logGroup {
	g := &logGroup{}
	m := &apiv1.Membership{}
	for id := uint64(1); id <= replicas; id++ {
		m.Replicas = append(m.Replicas, &apiv1.Replica{Id: id})
	}
	for id := uint64(1); id <= replicas; id++ {
		r, err := quorum.New(quorum.Config{
			ID: id, ElectionTicks: 10, HeartbeatTicks: 1, MaxEntriesPerMessage: 512, MaxInflight: 32,
			MaxUncommitted: 1 << 14, Rand: rand.New(rand.NewPCG(1, id)),
		}, quorum.StoredState{Snapshot: &apiv1.QuorumSnapshot{Meta: &apiv1.SnapshotMeta{Index: 1, Term: 1, Membership: m}}})
		must(err)
		g.rafts = append(g.rafts, r)
	}
	for g.leader == nil {
		for _, r := range g.rafts {
			r.Tick()
			g.deliverAll()
			if r.Status().Role == quorum.Leader {
				g.leader = r
			}
		}
	}
	return g
}

// deliverAll delivers messages until no replica has work left.
func (g *logGroup) deliverAll() {
	for busy := true; busy; {
		busy = false
		for _, r := range g.rafts {
			if !r.HasReady() {
				continue
			}
			busy = true
			messages := r.Ready().Messages
			r.Advance()
			for _, m := range messages {
				g.deliver(m)
			}
		}
	}
}

func (g *logGroup) deliver(m *apiv1.QuorumMessage) {
	data, err := proto.Marshal(&apiv1.DeliverRequest{Cell: "main", Messages: []*apiv1.QuorumMessage{m}})
	must(err)
	g.bytes += len(data)
	req := &apiv1.DeliverRequest{}
	must(proto.Unmarshal(data, req))
	must(g.rafts[req.Messages[0].To-1].Step(req.Messages[0]))
}

// commit replicates n entries and then compacts them away.
func (g *logGroup) commit(n int, command []byte) {
	for range n {
		_, _, err := g.leader.Propose(command)
		must(err)
	}
	g.deliverAll()
	for _, r := range g.rafts {
		_, err := r.Compact(r.Status().Applied, nil)
		must(err)
	}
}

// measureLog measures the replicated log.
func (r *recorder) measureLog() {
	command, err := proto.Marshal(claim(1))
	must(err)
	g := newLogGroup()
	r.measure("logB", "log: all messages of a group of 5 for claims, the claims' own bytes left out", "B", "entry", batchSizes, func(n int) float64 {
		before := g.bytes
		g.commit(n, command)
		return float64(g.bytes-before) - float64(n*len(command)*(replicas-1))
	})
	r.measure("quorumBeat", "log: all messages of a group of 5 for rounds of heartbeats", "B", "round", batchSizes, func(n int) float64 {
		before := g.bytes
		for range n {
			g.leader.Tick()
			g.deliverAll()
		}
		return float64(g.bytes - before)
	})
	r.measure("logNs", "log: the cores and message codecs of a group of 5, no disk, no sockets", "ns", "entry", batchSizes, func(n int) float64 {
		return costPerCall(func() { g.commit(n, command) })
	})
	r.measure("walB", "log on disk: one write, the claims' own bytes left out", "B", "entry", batchSizes, func(n int) float64 {
		return walGrowth(n, command) - float64(n*len(command))
	})
}

// walGrowth returns the bytes on disk of n log entries saved in one write.
func walGrowth(n int, command []byte) float64 {
	folder, err := os.MkdirTemp("", "slopes")
	must(err)
	defer os.RemoveAll(folder)
	l, err := wal.Open(wal.Options{Folder: folder})
	must(err)
	_, err = l.Load()
	must(err)
	before := folderSize(folder)
	var list []*apiv1.LogEntry
	for i := range n {
		list = append(list, &apiv1.LogEntry{Term: 7, Index: uint64(i + 1), Data: command})
	}
	must(l.Save(&apiv1.HardState{Term: 7, Vote: 1}, list))
	grown := folderSize(folder) - before
	must(l.Close())
	return grown
}

func folderSize(folder string) (sum float64) {
	must(filepath.Walk(folder, func(_ string, info os.FileInfo, err error) error {
		if err == nil && !info.IsDir() {
			sum += float64(info.Size())
		}
		return err
	}))
	return sum
}
