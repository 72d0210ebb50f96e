package node

import (
	"context"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/logging/event"
)

// repeatAfter is the time between lines that say the same on a group without a leader.
// A group that lost its majority stays so until somebody helps: lines at the pace of the
// requests to join, twice a second, would push out what came before.
const repeatAfter = 10 * time.Second

// whereabouts is what became of the voters of a group, by their host's name.
type whereabouts struct {
	voters int
	// silent don't answer; they may come back with their disks.
	silent []string
	// lost answer under another id: the disk that held the vote is gone.
	lost []string
}

// majorityLost reports whether the voters that may still come back are no majority.
func (w whereabouts) majorityLost() bool { return w.voters-len(w.lost) <= w.voters/2 }

// locateVoters asks every voter that this replica knows who it is.
func (n *Node) locateVoters() whereabouts {
	ctx, cancel := context.WithTimeout(n.ctx, askTimeout)
	defer cancel()
	var w whereabouts
	var mu sync.Mutex
	var asking conc.WaitGroup
	for _, r := range n.group().GetReplicas() {
		if r.Learner {
			continue
		}
		w.voters++
		if r.Id == n.id() {
			continue
		}
		asking.Go(func() {
			answer, err := n.transport.Identify(ctx, r.Address, 0)
			mu.Lock()
			defer mu.Unlock()
			w.add(r, answer, err)
		})
	}
	asking.Wait()
	return w
}

func (w *whereabouts) add(r *apiv1.Replica, answer *apiv1.IdentifyResponse, err error) {
	switch {
	case err != nil:
		w.silent = append(w.silent, r.Name)
	case answer.ReplicaId != r.Id:
		w.lost = append(w.lost, r.Name)
	}
}

// reportLeaderless says which voters a group without a leader misses, at most once in
// repeatAfter. Whether they are silent or lost their disks decides what to do: the
// first come back, or are brought back, with everything acknowledged; a majority of
// lost disks is for an operator to decide on.
func (n *Node) reportLeaderless() {
	if time.Since(n.leaderlessReport) < repeatAfter {
		return
	}
	w := n.locateVoters()
	n.leaderlessReport = time.Now()
	n.meters.votersLost.Update(int64(len(w.lost)))
	n.meters.votersSilent.Update(int64(len(w.silent)))
	fields := []event.Field{
		event.Voters(w.voters), event.UnresponsiveVoters(w.silent), event.DiskLost(w.lost), event.ReplicaID(n.id()),
	}
	if w.majorityLost() {
		event.MajorityDisksLost.Write(n.logger, fields...)
		return
	}
	event.GroupLeaderless.Write(n.logger, fields...)
}

// leaderSeen ends what reportLeaderless said.
func (n *Node) leaderSeen() {
	if n.leaderlessReport.IsZero() {
		return
	}
	n.leaderlessReport = time.Time{}
	n.meters.votersLost.Update(0)
	n.meters.votersSilent.Update(0)
	event.GroupHasLeaderAgain.Write(n.logger, event.LeaderID(n.Status().Leader))
}

// refusals keeps the last answer to a request to join from each address, so that the
// same one is logged once in repeatAfter.
type refusals map[string]refusal

type refusal struct {
	reason string
	at     time.Time
}

// isNews notes an answer and reports whether it is worth a line.
func (r refusals) isNews(address, reason string) bool {
	last := r[address]
	if last.reason == reason && time.Since(last.at) < repeatAfter {
		return false
	}
	r[address] = refusal{reason: reason, at: time.Now()}
	return true
}
