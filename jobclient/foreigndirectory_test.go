package jobclient

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/quorum"
	"github.com/cairnlift/cairnlift/quorum/node/nodetest"
)

var (
	firstSeed = flag.Uint64("directories.first", 1, "seed of the first play of foreign entries of the directory")
	seedCount = flag.Uint64("directories.seeds", 40, "number of these plays")
)

const (
	directoryRounds = 6
	// findTime is the time in which each process finds the group after a fault: an announcer's wait after an
	// outage of seconds, then refreshes that unresponsive hosts delay.
	findTime = 9 * time.Second
	// foreignInterval is the mean time between two foreign messages.
	foreignInterval = 400 * time.Millisecond
	// addedPrefix begins the names of control hosts that join the group, which may join it again.
	addedPrefix = "added"
)

// directoryPlay is a play of the simulation.
type directoryPlay struct {
	*directorySim
	// replicas are the addresses of the control hosts with a disk that run, by name.
	replicas map[string]string
	// directories are those of the others.
	directories map[string]string
	// entry is the address of the entry.
	entry string
	hosts int
}

func (s *directoryPlay) nextAddress() string {
	s.hosts++
	return simAddress(s.hosts)
}

func newDirectoryPlay(t *testing.T, seed uint64) *directoryPlay {
	founders := []string{"a", "b", "c"}
	s := &directoryPlay{
		directorySim: &directorySim{
			t: t, g: nodetest.NewGroup(t, seed, founders...), rand: rand.New(rand.NewPCG(seed, 7)),
			processes: map[string]*process{}, unresponsive: map[string]bool{},
		},
		replicas: map[string]string{}, directories: map[string]string{},
	}
	for _, name := range founders {
		s.replicas[name] = s.nextAddress()
		s.g.SetAddress(name, s.replicas[name])
	}
	for _, name := range []string{"x", "y"} {
		s.directories[name] = s.nextAddress()
	}
	s.seeds = []string{s.replicas["a"], s.replicas["b"], s.replicas["c"]}
	for _, name := range founders {
		s.startReplica(name, s.replicas[name], func(name string) { s.g.MustStart(name) })
	}
	for _, name := range []string{"x", "y"} {
		s.startDirectory(name, s.directories[name])
	}
	s.entry = s.nextAddress()
	s.startEntry("entry", s.entry)
	time.Sleep(3 * time.Second)
	// The settings name directories only from now on, which know the group.
	s.mu.Lock()
	s.seeds = []string{s.directories["x"], s.directories["y"]}
	s.mu.Unlock()
	s.g.Peers = []string{"x", "y"}
	s.g.WithoutReplica = s.g.Peers
	for name, address := range s.directories {
		s.g.SetAddress(name, address)
	}
	return s
}

func pickKey(s *directorySim, m map[string]string) string {
	names := []string{}
	for name := range m {
		names = append(names, name)
	}
	slices.Sort(names)
	return names[s.intN(len(names))]
}

// isWhole reports whether all control hosts with a disk that run are members, and one more may be lost. Former ones
// remain members until others take their places.
func (s *directoryPlay) isWhole() bool {
	for name := range s.replicas {
		status := s.g.Node(name).Status()
		if status.Role != quorum.Leader {
			continue
		}
		members, voters, running := 0, 0, 0
		for _, r := range status.Membership.Replicas {
			runs := s.replicas[r.Name] == r.Address && s.g.Node(r.Name).Status().ID == r.Id
			if !slices.Contains(s.used, r.Address) {
				return false
			}
			if runs {
				members++
			}
			if !r.Learner {
				voters++
			}
			if runs && !r.Learner {
				running++
			}
		}
		return members == len(s.replicas) && running-1 > voters/2
	}
	return false
}

// awaitWhole waits until the group is whole: one loss at a time is to be borne.
func (s *directoryPlay) awaitWhole() {
	for end := time.Now().Add(4 * findTime); !s.isWhole(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			for name, address := range s.replicas {
				s.t.Logf("%s at %s: %+v", name, address, s.g.Node(name).Status())
			}
			s.t.Fatalf("the members are not the control hosts %v", s.replicas)
		}
	}
}

// change restarts or replaces a process.
func (s *directoryPlay) change() {
	s.awaitWhole()
	name := pickKey(s.directorySim, s.replicas)
	address := s.replicas[name]
	start := func(name string) { s.g.MustStart(name) }
	switch s.intN(7) {
	case 0, 1:
		// A member is removed, and a new one joins at another address.
		s.g.Kill(name)
		s.end(address)
		delete(s.replicas, name)
		added := fmt.Sprint(addedPrefix, s.hosts)
		s.replicas[added] = s.nextAddress()
		s.startReplica(added, s.replicas[added], s.g.AddSpare)
	case 2:
		s.g.Kill(name)
		s.end(address)
		time.Sleep(time.Duration(s.intN(1500)) * time.Millisecond)
		if s.intN(2) == 0 && strings.HasPrefix(name, addedPrefix) {
			s.g.Host(name).Disk.Erase()
		}
		s.startReplica(name, address, start)
	case 3:
		s.g.Isolate(name, true)
		time.Sleep(time.Duration(s.intN(3000)) * time.Millisecond)
		s.g.Isolate(name, false)
	case 4:
		// The group changes while a member that clients reach is cut off from it.
		s.g.Isolate(name, true)
		added := fmt.Sprint(addedPrefix, s.hosts)
		s.replicas[added] = s.nextAddress()
		s.startReplica(added, s.replicas[added], s.g.AddSpare)
		time.Sleep(findTime)
		s.checkClients(s.replicas[name])
		s.g.Isolate(name, false)
	case 5:
		for directory, address := range s.directories {
			if s.intN(2) == 0 {
				s.end(address)
				s.startDirectory(directory, address)
			}
		}
	case 6:
		s.end(s.entry)
		s.startEntry("entry", s.entry)
	}
}

// foreignAddress returns an address that no member has, a former or present one, or none.
func (s *directoryPlay) foreignAddress() string {
	switch s.intN(8) {
	case 0:
		return ""
	case 1:
		return "somewhere:1"
	case 2:
		return fmt.Sprint("10.0.9.", s.intN(200))
	case 3, 4:
		unknown := fmt.Sprintf("10.0.9.%d:1", s.intN(200))
		unresponsive := s.intN(2) == 0
		s.mu.Lock()
		defer s.mu.Unlock()
		s.unresponsive[unknown] = unresponsive
		return unknown
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.used[s.rand.IntN(len(s.used))]
}

// sendForeign sends a message with addresses that are not the group's to a process.
func (s *directoryPlay) sendForeign() {
	s.mu.Lock()
	to := s.used[s.rand.IntN(len(s.used))]
	client := New(nil, zap.NewNop())
	s.mu.Unlock()
	client.http.Transport = simNetwork{s.directorySim, "a foreign process"}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	switch s.intN(4) {
	case 0, 1:
		r := &apiv1.JobsAnnounceRequest{LeaderAddress: s.foreignAddress()}
		for range s.intN(12) {
			r.Addresses = append(r.Addresses, s.foreignAddress())
		}
		_, _ = client.jobsClient(to).Announce(ctx, r) // refused or believed
	case 2:
		_, _ = client.jobsClient(to).Members(ctx, &apiv1.JobsMembersRequest{Directory: s.foreignAddress()})
	case 3:
		client.setPeers([]string{to})
		_, _ = client.forwarder.Propose(ctx, &apiv1.Command{Body: &apiv1.Command_RecordDirectory{
			RecordDirectory: &apiv1.RecordDirectory{Address: s.foreignAddress()},
		}})
	}
}

func (s *directoryPlay) play() {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	s.loops.Go(func() {
		for ctx.Err() == nil {
			s.loops.Go(s.sendForeign)
			time.Sleep(time.Duration(s.intN(2*int(foreignInterval)) + 1))
		}
	})
	s.loops.Go(func() { s.watchLists(ctx) })
	for range directoryRounds {
		s.change()
		time.Sleep(findTime)
		s.checkClients("")
		s.setCut()
	}
	s.awaitWhole()
	recorded := s.g.Host(s.g.Leader()).StateMachine.Commands()
	for name, address := range s.directories {
		if !slices.Contains(recorded, address) {
			s.t.Errorf("directory %s at %s is not recorded", name, address)
		}
	}
	s.g.Kill()
	for _, address := range s.replicas {
		s.end(address)
	}
	time.Sleep(findTime)
	for _, p := range s.processes {
		if age := p.client.ContactAge(); age < findTime/2 {
			s.t.Errorf("%s counts as in contact %v ago with a group that does not run", p.name, age)
		}
	}
}

// setCut cuts off one process without a replica until the next call in half of the cases.
func (s *directoryPlay) setCut() {
	s.mu.Lock()
	defer s.mu.Unlock()
	candidates := []string{"", "", "", s.entry, s.directories["x"], s.directories["y"]}
	s.cut = candidates[s.rand.IntN(len(candidates))]
}

// checkClients checks that each process that is not cut off reaches the group, and knows its members unless the
// member at isolated lists the group as it was.
func (s *directoryPlay) checkClients(isolated string) {
	members := s.g.Node(s.g.Leader()).Status().Membership.Replicas
	s.mu.Lock()
	defer s.mu.Unlock()
	for address, p := range s.processes {
		if address == s.cut || address == isolated {
			continue
		}
		known := p.client.Addresses()
		if age := p.client.ContactAge(); age > 3*refreshInterval {
			s.t.Errorf("%s at %s has not reached a member for %v; it knows %v, the members are %v", p.name, address, age, known, members)
		}
		for _, r := range members {
			if isolated == "" && !slices.Contains(known, r.Address) {
				s.t.Errorf("%s at %s knows %v, the members are %v", p.name, address, known, members)
			}
		}
	}
}

// watchLists checks that no process takes a list that is older than its own.
func (s *directoryPlay) watchLists(ctx context.Context) {
	newest := map[*process]uint64{}
	for ; ctx.Err() == nil; time.Sleep(100 * time.Millisecond) {
		s.mu.Lock()
		for _, p := range s.processes {
			p.client.mu.Lock()
			index := p.client.membersIndex
			p.client.mu.Unlock()
			if index < newest[p] {
				s.t.Errorf("%s took a list of index %d after one of %d", p.name, index, newest[p])
			}
			newest[p] = index
		}
		s.mu.Unlock()
	}
}

func (s *directoryPlay) stop() {
	s.g.Kill()
	for address := range s.processes {
		s.end(address)
	}
	s.loops.Wait()
}

// Guards against control hosts that are lost, join by mistake or are no longer found since a process was told
// addresses that are not the group's: by announcements, requests and records, beside control hosts that
// restart, lose their disks, are replaced or cut off, and directories that start anew.
func TestForeignEntriesOfDirectory(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+*seedCount; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newDirectoryPlay(t, seed)
				defer s.stop()
				s.play()
			})
		})
	}
}
