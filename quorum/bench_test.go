package quorum

import (
	"fmt"
	"testing"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

// newBenchCluster returns a group led by replica 1 after that many commands.
func newBenchCluster(b *testing.B, voters, entries int) *cluster {
	cfg := Config{ElectionTicks: 10, HeartbeatTicks: 1, MaxEntriesPerMessage: 256, MaxInflight: 16, MaxUncommitted: 1 << 20}
	c := newCluster(b, 1, cfg, voters)
	c.replicas[1].campaign(Candidate, false)
	c.runUntilIdle()
	for range entries / 64 {
		c.commitCommands(64)
	}
	return c
}

// commitCommands has commands of 128 bytes committed on all replicas, without any disk.
func (c *cluster) commitCommands(commands int) {
	for range commands {
		if _, _, err := c.replicas[1].Propose(make([]byte, 128)); err != nil {
			c.Fatal(err)
		}
	}
	for c.messages = c.messages[:0]; ; c.messages = c.messages[:0] {
		for _, id := range c.ids {
			for h := c.replicas[id]; h.HasReady(); h.Advance() {
				c.messages = append(c.messages, h.Ready().Messages...)
			}
		}
		for _, m := range c.messages {
			c.deliver(m)
		}
		if len(c.messages) == 0 {
			return
		}
	}
}

// BenchmarkCommit measures what a command costs all cores of a group together,
// alone and in groups, after logs of several lengths.
func BenchmarkCommit(b *testing.B) {
	for _, voters := range []int{1, 3, 5} {
		for _, batch := range []int{1, 64} {
			for _, entries := range []int{1 << 10, 1 << 14, 1 << 18} {
				b.Run(fmt.Sprintf("replicas=%d/batch=%d/log=%d", voters, batch, entries), func(b *testing.B) {
					c := newBenchCluster(b, voters, entries)
					b.ReportAllocs()
					b.ResetTimer()
					for n := 0; n < b.N; n += batch {
						c.commitCommands(batch)
					}
				})
			}
		}
	}
}

// BenchmarkStep measures a follower's handling of an append that it refuses with
// a hint, which searches its log.
func BenchmarkStep(b *testing.B) {
	for _, entries := range []int{1 << 10, 1 << 14, 1 << 18} {
		h := newBenchCluster(b, 3, entries).replicas[2]
		m := &apiv1.QuorumMessage{Kind: apiv1.MessageKind_MESSAGE_KIND_APPEND, From: 1, To: 2, Term: 2, Index: 1 << 30, LogTerm: 2}
		b.Run(fmt.Sprintf("log=%d", entries), func(b *testing.B) {
			b.ReportAllocs()
			for range b.N {
				if err := h.Step(m); err != nil {
					b.Fatal(err)
				}
				h.Ready()
				h.Advance()
			}
		})
	}
}
