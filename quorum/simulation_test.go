package quorum

import (
	"flag"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

var (
	seeds     = flag.Uint64("seeds", 300, "seeds of TestSimulation")
	firstSeed = flag.Uint64("first-seed", 1, "first seed of TestSimulation")
)

// TestSimulation runs random groups at virtual time under everything that the
// network, the disks, the scheduler and the operators can do to them, and checks
// the properties of the paper's figure 3 and that reads are linearizable. Once the
// faults end, each group must work again with everything acknowledged in place.
func TestSimulation(t *testing.T) {
	done := map[string]int{}
	for seed := *firstSeed; seed < *firstSeed+*seeds; seed++ {
		s := newSimulation(t, seed, done)
		for range 3000 {
			s.injectFault()
			s.step()
		}
		s.checkRecovery()
		done["elections"] += len(s.leaders)
		done["commits"] += len(s.committed)
	}
	t.Logf("%d seeds: %v", *seeds, done)
}

type simulation struct {
	*cluster
	*rand.Rand
	delays     map[*apiv1.QuorumMessage]int // steps until delivery
	readFloors map[[2]uint64]uint64         // floor by host and context
	faultFree  bool
	counts     map[string]int
}

func newSimulation(t testing.TB, seed uint64, done map[string]int) *simulation {
	s := &simulation{Rand: rand.New(rand.NewPCG(seed, 0)), counts: done}
	s.delays, s.readFloors = map[*apiv1.QuorumMessage]int{}, map[[2]uint64]uint64{}
	cfg := Config{ElectionTicks: 10, HeartbeatTicks: 1 + s.IntN(3), MaxEntriesPerMessage: 1 + s.IntN(4), MaxInflight: 1 + s.IntN(4), MaxUncommitted: 20}
	s.cluster = newCluster(t, seed, cfg, 1+s.IntN(5))
	s.compactionTail = s.IntN(5)
	return s
}

func (s *simulation) chance(percent int) bool { return s.IntN(100) < percent }

func (s *simulation) randomID() uint64 { return s.ids[s.IntN(len(s.ids))] }

func (s *simulation) step() {
	for _, id := range s.ids {
		h := s.replicas[id]
		if !h.up || h.frozen {
			continue
		}
		if s.chance(40) {
			h.Tick()
		}
		s.stepDriver(h)
		if s.chance(20) {
			s.randomCall(h)
		}
	}
	s.deliverDue()
	if s.chance(2) {
		s.checkLogMatching()
	}
}

// stepDriver takes the driver one step further, so that calls and messages come between
// any two of its steps.
func (s *simulation) stepDriver(h *testReplica) {
	switch {
	case s.faultFree:
		s.processReady(h)
		s.checkReads(h)
	case h.pendingReady == nil && h.HasReady():
		s.takeReady(h)
	case h.pendingReady == nil || s.chance(30):
	case !h.synced:
		h.persist(2 + len(h.pendingReady.Entries))
	default:
		s.finishReady(h)
		s.checkReads(h)
	}
}

// randomCall lets callers and operators ask something of a host. Contexts of reads
// start afresh with the host.
func (s *simulation) randomCall(h *testReplica) {
	switch n := s.IntN(100); {
	case n < 45:
		if index, term, err := h.Propose([]byte(strconv.Itoa(s.IntN(1000)))); err == nil {
			s.proposed[[2]uint64{index, term}] = true
		}
	case n < 78:
		h.readsRequested++
		s.readFloors[[2]uint64{h.id, h.readsRequested}] = s.readFloor
		h.ReadIndex(h.readsRequested)
	case n < 83 && h.pendingReady == nil:
		_ = h.compact()
	case n < 85 && !s.faultFree:
		_ = h.TransferLeadership(s.randomID())
	case n < 87:
		h.ReportUnreachable(s.randomID())
	case !s.faultFree && h.role == Leader:
		s.randomMembershipChange(h)
	}
}

// randomMembershipChange is the operators' part: it puts new replicas in the place of lost ones,
// and otherwise adds, promotes and removes at random.
func (s *simulation) randomMembershipChange(leader *testReplica) {
	m := leader.membership.current()
	i := slices.IndexFunc(m.Replicas, func(r *apiv1.Replica) bool { return s.replicas[r.Id].lost || r.Learner })
	step, id := "add", uint64(len(s.ids)+1)
	switch {
	case i >= 0 && s.replicas[m.Replicas[i].Id].lost:
		step, id = "remove", m.Replicas[i].Id
	case i >= 0:
		step, id = "promote", m.Replicas[i].Id
	case len(m.Replicas) > 3 && s.chance(60):
		step, id = "remove", m.Replicas[s.IntN(len(m.Replicas))].Id
	case len(s.ids) > 9:
		return
	}
	if _, _, err := leader.ProposeMembership(changeMembership(m, step, id)); err != nil {
		return
	}
	s.counts[step]++
	if step == "add" {
		s.add(id, StoredState{})
	}
}

// checkReads checks a host's confirmed reads: each must see everything that was
// acknowledged or read before it began.
func (s *simulation) checkReads(h *testReplica) {
	for _, a := range h.readResults {
		if floor := s.readFloors[[2]uint64{h.id, a.Context}]; !a.Rejected && a.Index < floor {
			s.fail("stale read at %d on %d, entry %d was acknowledged before", a.Index, h.id, floor)
		}
		if !a.Rejected && h.applied >= a.Index {
			s.readFloor = max(s.readFloor, h.applied)
			s.counts["reads"]++
		}
	}
	h.readResults = nil
}

// injectFault does at random what a host, its disk or the network can suffer. Of what
// was being written at a crash, a random first part has reached the disk.
func (s *simulation) injectFault() {
	id := s.randomID()
	h := s.replicas[id]
	switch n := s.IntN(1000 * (1 + int(s.seed%4))); { // groups differ in how often
	case n < 6 && h.up:
		if h.pendingReady != nil && !h.synced {
			h.persist(s.IntN(len(h.pendingReady.Entries) + 2))
		}
		h.up = false
	case n < 30 && !h.up && !h.lost:
		s.start(h, id)
	case n < 36:
		h.frozen = true
	case n < 60:
		h.frozen = false
	case n < 66:
		s.partition[id] = 1 - s.partition[id]
	case n < 90:
		clear(s.partition)
		clear(s.brokenLinks)
	case n < 96:
		s.brokenLinks[[2]uint64{id, s.randomID()}] = true
	case n < 99 && s.mayLoseDisk(id):
		h.up, h.lost = false, true
		s.counts["lost disks"]++
	}
}

// mayLoseDisk allows to lose a disk for good only while the newest leader's committed
// membership has three voters and none that was lost before it.
func (s *simulation) mayLoseDisk(id uint64) bool {
	newest := s.replicas[id]
	for _, h := range s.replicas {
		if h.term > newest.term || h.term == newest.term && h.role == Leader {
			newest = h
		}
	}
	voters := 0
	for _, r := range newest.membership.current().GetReplicas() {
		if s.replicas[r.Id].lost {
			return false
		}
		if !r.Learner {
			voters++
		}
	}
	return newest.role == Leader && newest.isVoter(newest.id) && voters >= 3 &&
		newest.committedOwnTerm() && newest.membership.lastIndex() <= newest.log.commit
}

// deliverDue delivers what is due, in any order, some of it twice or never. What
// comes for a frozen host waits, and is taken in some time after it wakes.
func (s *simulation) deliverDue() {
	wire := s.messages
	s.messages = nil
	for _, m := range wire {
		delay, known := s.delays[m]
		switch {
		case !known && !s.faultFree && s.chance(5): // lost
			continue
		case !known:
			s.delays[m] = s.randomDelay()
			if s.chance(3) {
				s.messages = append(s.messages, m)
			}
		case delay > 0:
			s.delays[m]--
		case s.replicas[m.To].frozen:
			s.delays[m] = s.IntN(20)
		default:
			s.deliver(m)
			continue
		}
		s.messages = append(s.messages, m)
	}
}

// randomDelay and work keep to the paper's timing requirement (5.6) once the faults end.
func (s *simulation) randomDelay() int {
	switch {
	case s.faultFree:
		return 0
	case s.chance(2):
		return s.IntN(150)
	}
	return s.IntN(4)
}

// checkRecovery ends the faults and checks that the group works, that everything
// acknowledged is there, and that nobody disturbs it.
func (s *simulation) checkRecovery() {
	s.faultFree = true
	clear(s.partition)
	clear(s.brokenLinks)
	for _, id := range s.ids {
		if h := s.replicas[id]; !h.up && !h.lost {
			s.start(h, id)
		}
		s.replicas[id].frozen = false
	}
	terms := 0
	for n := range 900 {
		if n == 600 {
			terms = len(s.leaders)
		}
		s.step()
	}
	var leader *testReplica
	for range 20 {
		s.runUntilIdle()
		for _, id := range s.ids {
			h := s.replicas[id]
			if h.Tick(); h.up && h.role == Leader {
				leader = h
			}
		}
	}
	if leader == nil || terms != len(s.leaders) {
		s.fail("%d elections, then %d without a fault", terms, len(s.leaders)-terms)
	}
	for _, r := range leader.membership.current().GetReplicas() {
		if h := s.replicas[r.Id]; h.up && (h.applied != leader.log.lastIndex() || h.applied < s.readFloor) {
			s.fail("replica %d ends at %d, the leader at %d, acknowledged up to %d", r.Id, h.applied, leader.log.lastIndex(), s.readFloor)
		}
	}
}
