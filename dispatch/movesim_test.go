package dispatch_test

import (
	"slices"
	"testing"
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

// Guards against a move that ends running tasks, is forgotten, executed twice or undone, and
// against a worker that runs more tasks than its capacity. This happens if a host is ordered away
// before its tasks run elsewhere or while it may get new ones, if an order is lost with its leader,
// or if an old call or list is taken for a new one. Operators move hosts back and forth while batch
// and serving tasks run and workers crash. Leaders change during moves, orders are not answered and
// are executed up to ten seconds late, and host lists are outdated.
func TestMovesUnderFaults(t *testing.T) {
	runSeeds(t, 30, 8, runMovesUnderFaults)
}

func runMovesUnderFaults(t *testing.T, s *sim, seed uint64) {
	s.longRunningJob = "serving"
	// Three hosts stay in the pool: the serving tasks need one each.
	f := s.setUpPools(map[string]string{
		"host0": simPool, "host1": simPool, "host2": simPool, "host3": simPool, "host4": simPool, "host5": simPool,
		"host6": otherPool, "host7": reservePool,
	})
	s.sleep(3 * time.Second)
	s.submitSpec(servingJob())
	s.sleep(moverSettleTime)
	requested := []string{"host0", "host1", "host2"}
	for i, host := range requested {
		s.requestMove(host, otherPool)
		for k := range 4 {
			s.submit(4*i + k)
			switch s.intN(4) {
			case 0:
				s.loops.Go(func() { s.log.LoseLeadership(time.Duration(s.intN(1500)) * time.Millisecond) })
			case 1:
				s.crashAndRestart(f, host)
			}
			s.sleep(time.Duration(500+s.intN(3000)) * time.Millisecond)
		}
	}
	s.stopFaults()
	arrived := func() bool {
		return !slices.ContainsFunc(requested, func(host string) bool { return f.PoolOf(host) != otherPool || !s.moveOf(host).Finished() })
	}
	if !s.waitUntil(2*time.Minute, arrived) {
		t.Errorf("seed %d: the moves are %v %v %v", seed, s.moveOf("host0"), s.moveOf("host1"), s.moveOf("host2"))
	}
	// Move one of them back as soon as that is allowed.
	s.sleep(31 * time.Second)
	s.requestMove("host0", simPool)
	if !s.waitUntil(time.Minute, func() bool { return f.PoolOf("host0") == simPool && s.moveOf("host0").Finished() }) {
		t.Errorf("seed %d: the move back is %v", seed, s.moveOf("host0"))
	}
	s.checkOrders(seed, f)
	s.stopFaultsAndCheck(seed)
}

// Guards against tasks that wait although standby hosts exist, against requests for hosts that are
// not needed, and against hosts that never return to standby. Causes are leaders that request no
// hosts, request them again, or forget where they came from. A pool fills up while leaders change
// and orders are not answered; later its jobs are canceled.
func TestStandbyHostsAreRequestedAndReturned(t *testing.T) {
	runSeeds(t, 20, 6, runStandbyHosts)
}

func runStandbyHosts(t *testing.T, s *sim, seed uint64) {
	s.longRunningJob = "crowd"
	f := s.setUpPools(map[string]string{
		"host0": simPool, "host1": otherPool, "host2": reservePool, "host3": reservePool, "host4": reservePool, "host5": reservePool,
	})
	s.sleep(moverSettleTime)
	if all, _ := f.Calls(); all != 0 {
		t.Errorf("seed %d: %d platform calls while no task waits", seed, all)
	}
	// There is free capacity for one of the three tasks.
	s.submitSpec(fullWorkerJob("crowd", 3))
	for range 5 {
		if s.intN(3) == 0 {
			s.loops.Go(func() { s.log.LoseLeadership(time.Duration(s.intN(1500)) * time.Millisecond) })
		}
		s.sleep(time.Duration(s.intN(4000)) * time.Millisecond)
	}
	s.stopFaults()
	inPool := func(pool string) (n int) {
		for _, h := range s.hosts {
			if f.PoolOf(h.name) == pool {
				n++
			}
		}
		return n
	}
	if !s.waitUntil(2*time.Minute, func() bool { return s.runCount("crowd") == 3 }) || inPool(otherPool) != 3 {
		t.Errorf("seed %d: %d tasks run, %d hosts were added", seed, s.runCount("crowd"), inPool(otherPool)-1)
	}
	s.propose(&apiv1.JobsCommand{Body: &apiv1.JobsCommand_Cancel{Cancel: &apiv1.CancelJob{Id: "crowd", Host: simHost, Path: "/o/crowd"}}})
	if !s.waitUntil(3*time.Minute, func() bool { return inPool(reservePool) == 4 }) || inPool(simPool) != 1 {
		t.Errorf("seed %d: %d hosts are in standby after the cancellation", seed, inPool(reservePool))
	}
	s.sleep(10 * time.Second)
	before, _ := f.Calls()
	s.sleep(time.Minute)
	if after, _ := f.Calls(); after != before {
		t.Errorf("seed %d: %d platform calls while no host needs to move", seed, after-before)
	}
	s.checkOrders(seed, f)
	s.stopFaultsAndCheck(seed)
}
