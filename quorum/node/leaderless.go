package node

import (
	"context"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/logging/event"
)

// logRepeatInterval is the time from one log line about a group without a leader to the next one
// with the same content. A group that lost its majority stays in that state until an operator
// intervenes. Lines at the rate of the join requests, twice a second, would displace the earlier
// log.
const logRepeatInterval = 10 * time.Second

// voterSurvey is the state of a group's voters, by the name of their host.
type voterSurvey struct {
	voters int
	// unresponsive voters don't answer; they may return with their disks.
	unresponsive []string
	// diskLost voters answer under another id: the disk that held the vote is lost.
	diskLost []string
	// withoutReplica voters answer and have no replica for now, such as while their disk refuses writes. The
	// disk may hold the vote and every entry.
	withoutReplica []string
}

// majorityLost reports whether the voters that can still return are no majority.
func (w voterSurvey) majorityLost() bool { return w.voters-len(w.diskLost) <= w.voters/2 }

// surveyVoters queries the identity of every voter that this replica knows.
func (n *Node) surveyVoters() voterSurvey {
	ctx, cancel := context.WithTimeout(n.ctx, requestTimeout)
	defer cancel()
	var w voterSurvey
	var mu sync.Mutex
	var requests conc.WaitGroup
	for _, r := range n.groupMembership().GetReplicas() {
		if r.Learner {
			continue
		}
		w.voters++
		if r.Id == n.id() {
			continue
		}
		requests.Go(func() {
			answer, err := n.transport.Identify(ctx, r.Address, 0)
			mu.Lock()
			defer mu.Unlock()
			w.add(r, answer, err)
		})
	}
	requests.Wait()
	return w
}

func (w *voterSurvey) add(r *apiv1.Replica, answer *apiv1.IdentifyResponse, err error) {
	switch {
	case err != nil:
		w.unresponsive = append(w.unresponsive, r.Name)
	case answer.ReplicaId == 0:
		w.withoutReplica = append(w.withoutReplica, r.Name)
	case answer.ReplicaId != r.Id:
		w.diskLost = append(w.diskLost, r.Name)
	}
}

// logLeaderless logs which voters are missing in a group without a leader, at most once in
// logRepeatInterval. What to do depends on whether they are unresponsive, run without a replica or lost
// their disks: the first two return, or can be brought back, with every acknowledged entry, whereas an
// operator has to decide about a majority of lost disks.
func (n *Node) logLeaderless() {
	if time.Since(n.leaderlessLoggedAt) < logRepeatInterval {
		return
	}
	w := n.surveyVoters()
	n.leaderlessLoggedAt = time.Now()
	n.metrics.votersLost.Update(int64(len(w.diskLost)))
	n.metrics.votersUnresponsive.Update(int64(len(w.unresponsive)))
	n.metrics.votersWithoutReplica.Update(int64(len(w.withoutReplica)))
	fields := []event.Field{
		event.Voters(w.voters), event.UnresponsiveVoters(w.unresponsive), event.DiskLost(w.diskLost),
		event.WithoutReplica(w.withoutReplica), event.ReplicaID(n.id()),
	}
	if w.majorityLost() {
		event.MajorityDisksLost.Write(n.logger, fields...)
		return
	}
	event.GroupLeaderless.Write(n.logger, fields...)
}

// clearLeaderless resets the state that logLeaderless reported, once a leader is known.
func (n *Node) clearLeaderless() {
	if n.leaderlessLoggedAt.IsZero() {
		return
	}
	n.leaderlessLoggedAt = time.Time{}
	n.metrics.votersLost.Update(0)
	n.metrics.votersUnresponsive.Update(0)
	n.metrics.votersWithoutReplica.Update(0)
	event.GroupHasLeaderAgain.Write(n.logger, event.LeaderID(n.Status().Leader))
}

// joinAnswers holds the last response to a join request from each address, so that the same
// response is logged only once in logRepeatInterval.
type joinAnswers map[string]joinAnswer

type joinAnswer struct {
	reason string
	at     time.Time
}

// shouldLog records a response and reports whether to log it.
func (r joinAnswers) shouldLog(address, reason string) bool {
	last := r[address]
	if last.reason == reason && time.Since(last.at) < logRepeatInterval {
		return false
	}
	r[address] = joinAnswer{reason: reason, at: time.Now()}
	return true
}
