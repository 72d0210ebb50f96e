package node

import (
	"context"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/logging/event"
)

// logRepeatInterval is the time between lines that say the same on a group without a leader.
// A group that lost its majority stays so until somebody helps: lines at the pace of the
// requests to join, twice a second, would push out what came before.
const logRepeatInterval = 10 * time.Second

// voterSurvey is what became of the voters of a group, by their host's name.
type voterSurvey struct {
	voters int
	// unresponsive don't answer; they may come back with their disks.
	unresponsive []string
	// diskLost answer under another id: the disk that held the vote is gone.
	diskLost []string
}

// majorityLost reports whether the voters that may still come back are no majority.
func (w voterSurvey) majorityLost() bool { return w.voters-len(w.diskLost) <= w.voters/2 }

// surveyVoters asks every voter that this replica knows who it is.
func (n *Node) surveyVoters() voterSurvey {
	ctx, cancel := context.WithTimeout(n.ctx, requestTimeout)
	defer cancel()
	var w voterSurvey
	var mu sync.Mutex
	var asking conc.WaitGroup
	for _, r := range n.groupMembership().GetReplicas() {
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

func (w *voterSurvey) add(r *apiv1.Replica, answer *apiv1.IdentifyResponse, err error) {
	switch {
	case err != nil:
		w.unresponsive = append(w.unresponsive, r.Name)
	case answer.ReplicaId != r.Id:
		w.diskLost = append(w.diskLost, r.Name)
	}
}

// logLeaderless says which voters a group without a leader misses, at most once in
// logRepeatInterval. Whether they are silent or lost their disks decides what to do: the
// first come back, or are brought back, with everything acknowledged; a majority of
// lost disks is for an operator to decide on.
func (n *Node) logLeaderless() {
	if time.Since(n.leaderlessLoggedAt) < logRepeatInterval {
		return
	}
	w := n.surveyVoters()
	n.leaderlessLoggedAt = time.Now()
	n.metrics.votersLost.Update(int64(len(w.diskLost)))
	n.metrics.votersUnresponsive.Update(int64(len(w.unresponsive)))
	fields := []event.Field{
		event.Voters(w.voters), event.UnresponsiveVoters(w.unresponsive), event.DiskLost(w.diskLost), event.ReplicaID(n.id()),
	}
	if w.majorityLost() {
		event.MajorityDisksLost.Write(n.logger, fields...)
		return
	}
	event.GroupLeaderless.Write(n.logger, fields...)
}

// clearLeaderless ends what logLeaderless said.
func (n *Node) clearLeaderless() {
	if n.leaderlessLoggedAt.IsZero() {
		return
	}
	n.leaderlessLoggedAt = time.Time{}
	n.metrics.votersLost.Update(0)
	n.metrics.votersUnresponsive.Update(0)
	event.GroupHasLeaderAgain.Write(n.logger, event.LeaderID(n.Status().Leader))
}

// joinAnswers keeps the last answer to a request to join from each address, so that the
// same one is logged once in logRepeatInterval.
type joinAnswers map[string]joinAnswer

type joinAnswer struct {
	reason string
	at     time.Time
}

// shouldLog notes an answer and reports whether it is worth a line.
func (r joinAnswers) shouldLog(address, reason string) bool {
	last := r[address]
	if last.reason == reason && time.Since(last.at) < logRepeatInterval {
		return false
	}
	r[address] = joinAnswer{reason: reason, at: time.Now()}
	return true
}
