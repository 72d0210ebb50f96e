package node_test

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/sourcegraph/conc"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/quorum/node"
	"github.com/cairnlift/cairnlift/quorum/wal"
	"github.com/cairnlift/cairnlift/settings"
)

const (
	commandBytes = 200
	benchTick    = 50 * time.Millisecond
	// maxLatency is the histograms' upper end, in microseconds.
	maxLatency = 60_000_000
)

// noopStateMachine is a state machine that keeps nothing.
type noopStateMachine struct{}

func (noopStateMachine) Apply(uint64, []byte) []byte { return nil }
func (noopStateMachine) Snapshot() ([]byte, error)   { return nil, nil }
func (noopStateMachine) Restore([]byte) error        { return nil }

func startGroup(b *testing.B, replicas int, o node.Options) []*server {
	listeners, peers := listenAll(b, replicas)
	o.StateMachine, o.Tick = noopStateMachine{}, benchTick
	var servers []*server
	for i, l := range listeners {
		o.Folder = b.TempDir()
		servers = append(servers, startServer(b, l, peers[i], peers, o))
		b.Cleanup(servers[i].close)
	}
	return servers
}

func report(b *testing.B, h *hdrhistogram.Histogram, unit string) {
	b.ReportMetric(float64(h.ValueAtQuantile(50)), "p50-"+unit)
	b.ReportMetric(float64(h.ValueAtQuantile(99)), "p99-"+unit)
}

// BenchmarkCommit measures commits through the leader, files synced, replicas
// over HTTP on the loopback interface.
func BenchmarkCommit(b *testing.B) {
	for _, replicas := range []int{1, 3} {
		for _, single := range []bool{false, true} {
			for _, proposers := range []int{1, 16, 128} {
				name := fmt.Sprintf("replicas=%d/group=%v/proposers=%d", replicas, !single, proposers)
				b.Run(name, func(b *testing.B) {
					servers := startGroup(b, replicas, node.Options{SingleCommit: single})
					commitAll(b, awaitLeader(b, servers).node, proposers)
				})
			}
		}
	}
}

func commitAll(b *testing.B, leader *node.Node, proposers int) {
	command := make([]byte, commandBytes)
	total := hdrhistogram.New(1, maxLatency, 3)
	parts := make([]*hdrhistogram.Histogram, proposers)
	var left atomic.Int64
	left.Store(int64(b.N))
	var running conc.WaitGroup
	b.ResetTimer()
	for i := range proposers {
		parts[i] = hdrhistogram.New(1, maxLatency, 3)
		running.Go(func() {
			for left.Add(-1) >= 0 {
				started := time.Now()
				if _, _, err := leader.Propose(context.Background(), command); err != nil {
					b.Error(err)
					return
				}
				parts[i].RecordValue(time.Since(started).Microseconds())
			}
		})
	}
	running.Wait()
	b.StopTimer()
	for _, h := range parts {
		total.Merge(h)
	}
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "commits/s")
	report(b, total, "us")
}

// BenchmarkRecovery measures from the start of a lone replica to its first
// confirmed read, against the number of log entries after its snapshot.
func BenchmarkRecovery(b *testing.B) {
	for _, entries := range []int{1000, 10_000, 100_000} {
		b.Run(fmt.Sprintf("entries=%d", entries), func(b *testing.B) {
			folder := b.TempDir()
			recoverOnce(b, folder)
			appendEntries(b, folder, uint64(entries))
			for b.Loop() {
				recoverOnce(b, folder)
			}
		})
	}
}

func recoverOnce(b *testing.B, folder string) {
	n, err := node.Start(node.Options{
		Cell: "test", Name: "a", Address: "127.0.0.1:1", Peers: []settings.Peer{{Name: "a", Address: "127.0.0.1:1"}},
		Folder: folder, StateMachine: noopStateMachine{}, SnapshotEntries: 1 << 40,
	})
	if err != nil {
		b.Fatal(err)
	}
	awaitRead(n)
	if err := n.Stop(context.Background()); err != nil {
		b.Fatal(err)
	}
}

func appendEntries(b *testing.B, folder string, count uint64) {
	log, err := wal.Open(wal.Options{Folder: folder})
	if err != nil {
		b.Fatal(err)
	}
	st, err := log.Load()
	if err != nil {
		b.Fatal(err)
	}
	const perSave = 500
	next := st.Snapshot.Meta.Index + uint64(len(st.Entries)) + 1
	for last := next + count; next < last; {
		var entries []*apiv1.LogEntry
		for ; len(entries) < perSave && next < last; next++ {
			entries = append(entries, &apiv1.LogEntry{Term: st.HardState.Term, Index: next, Data: make([]byte, commandBytes)})
		}
		if err := log.Save(nil, entries); err != nil {
			b.Fatal(err)
		}
	}
	if err := log.Close(); err != nil {
		b.Fatal(err)
	}
}

// BenchmarkLeaderChange measures from the end of a leader to the first commit by
// its successor: after a crash, and after a planned stop, whose own time is in it.
// The election timeout is 10 to 20 ticks of 50 ms.
func BenchmarkLeaderChange(b *testing.B) {
	for _, planned := range []bool{false, true} {
		b.Run(fmt.Sprintf("planned=%v", planned), func(b *testing.B) {
			listeners, peers := listenAll(b, 3)
			servers, folders := make([]*server, 3), make([]string, 3)
			start := func(i int, l net.Listener) {
				o := node.Options{Folder: folders[i], StateMachine: noopStateMachine{}, Tick: benchTick}
				servers[i] = startServer(b, l, peers[i], peers, o)
			}
			for i, l := range listeners {
				folders[i] = b.TempDir()
				start(i, l)
				defer func() { servers[i].close() }()
			}
			times := hdrhistogram.New(1, maxLatency, 3)
			for b.Loop() {
				leader := awaitLeader(b, servers)
				began := time.Now()
				stopServer(leader, planned)
				commitAnywhere(servers, leader)
				times.RecordValue(time.Since(began).Milliseconds())
				b.StopTimer()
				for i, s := range servers {
					if s == leader {
						l, err := net.Listen("tcp", peers[i].Address)
						if err != nil {
							b.Fatal(err)
						}
						start(i, l)
						awaitRead(servers[i].node)
					}
				}
				b.StartTimer()
			}
			report(b, times, "ms")
			b.ReportMetric(float64(times.Max()), "max-ms")
		})
	}
}

func stopServer(s *server, planned bool) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	if !planned {
		cancel()
	}
	s.node.Stop(ctx)
	s.http.Close()
}

func commitAnywhere(servers []*server, except *server) {
	for {
		for _, s := range servers {
			if s == except {
				continue
			}
			if _, _, err := s.node.Propose(context.Background(), []byte("x")); err == nil {
				return
			}
		}
		time.Sleep(time.Millisecond)
	}
}
