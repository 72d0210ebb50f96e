package quorum

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

// TestScripts runs the scripts of testdata: commands with their arguments, mostly
// a replica's id first. "=> text" names the error that the last one of a line must
// end in. After each command the group settles, unless the line starts with "-".
func TestScripts(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	if err != nil || len(files) == 0 {
		t.Fatalf("no scripts: %v", err)
	}
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			text, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			s := &script{}
			for i, line := range strings.Split(string(text), "\n") {
				if line == "" || line[0] == '#' {
					continue
				}
				commands, want, fails := strings.Cut(line, "=>")
				commands, s.manualDelivery = strings.CutPrefix(commands, "-")
				err := s.runAll(t, strings.Split(commands, ";"))
				if fails != (err != nil) || err != nil && !strings.Contains(err.Error(), strings.TrimSpace(want)) {
					t.Fatalf("%s:%d: %s: got error %v", file, i+1, line, err)
				}
			}
		})
	}
}

type script struct {
	*cluster
	manualDelivery bool
}

// runAll returns the error of the last command; an earlier one must have none.
func (s *script) runAll(t *testing.T, commands []string) error {
	for i, command := range commands {
		if err := s.run(t, strings.Fields(command)); err != nil {
			if i < len(commands)-1 {
				t.Fatalf("%s: %v", command, err)
			}
			return err
		}
	}
	return nil
}

func (s *script) run(t *testing.T, words []string) error {
	name, args := words[0], words[1:]
	if name == "group" {
		cfg := Config{ElectionTicks: 10, HeartbeatTicks: 1, MaxEntriesPerMessage: 1, MaxInflight: 4, MaxUncommitted: 6}
		s.cluster = newCluster(t, 1, cfg, int(parseUint(args[0])))
		return nil
	}
	if args[0] == "*" {
		for _, id := range s.ids {
			if !s.replicas[id].up {
				continue
			}
			if err := s.run(t, append([]string{name, fmt.Sprint(id)}, args[1:]...)); err != nil {
				return err
			}
		}
		return nil
	}
	err := s.command(name, parseUint(args[0]), s.replicas[parseUint(args[0])], args[1:])
	if !s.manualDelivery {
		s.runUntilIdle()
	}
	return err
}

func parseUint(s string) uint64 {
	n, _ := strconv.ParseUint(s, 10, 64)
	return n
}

func (s *script) command(name string, id uint64, h *testReplica, args []string) error {
	switch name {
	case "blank": // a replica without any state
		s.add(id, StoredState{})
	case "cut": // from all others
		s.partition[id] = 1
	case "unlink": // only the way between two replicas
		s.brokenLinks[[2]uint64{id, parseUint(args[0])}], s.brokenLinks[[2]uint64{parseUint(args[0]), id}] = true, true
	case "heal":
		clear(s.partition)
		clear(s.brokenLinks)
	case "crash":
		h.up = false
	case "tear": // a write of which only the first parts reach the disk
		s.takeReady(h)
		h.persist(int(parseUint(args[0])))
		h.up = false
	case "restart":
		s.start(h, id)
	case "tick":
		for range parseUint(args[0]) {
			if h.Tick(); !s.manualDelivery {
				s.runUntilIdle()
			}
		}
		s.processReady(h)
	case "elect": // once the others have not heard a leader for long enough
		s.expireElectionTimers()
		for n := 0; n < 100 && h.role != Leader; n++ {
			h.Tick()
			s.runUntilIdle()
		}
	case "campaign":
		s.expireElectionTimers()
		h.campaign(Candidate, false)
	case "propose":
		for _, command := range args {
			if command == "huge" {
				command = strings.Repeat("x", MaxCommandBytes+1)
			}
			if _, _, err := h.Propose([]byte(command)); err != nil {
				return err
			}
		}
	case "member":
		_, _, err := h.ProposeMembership(changeMembership(h.membership.current(), args[0], parseUint(args[1])))
		return err
	case "transfer":
		return h.TransferLeadership(parseUint(args[0]))
	case "read":
		h.ReadIndex(parseUint(args[0]))
	case "compact":
		return h.compact()
	case "deliver": // what is on the wire from one replica to the next of a path
		for _, arg := range args {
			s.deliverBetween(id, parseUint(arg))
			id = parseUint(arg)
		}
	case "drive":
		s.processReady(h)
	case "drop":
		s.messages = nil
	case "forge": // a message: kind, sender, term, index, log term, commit
		m := &apiv1.QuorumMessage{
			Kind: apiv1.MessageKind(apiv1.MessageKind_value["MESSAGE_KIND_"+args[0]]), From: parseUint(args[1]), To: id,
			Term: parseUint(args[2]), Index: parseUint(args[3]), LogTerm: parseUint(args[4]), Commit: parseUint(args[5]),
		}
		m.Snapshot = &apiv1.QuorumSnapshot{Meta: &apiv1.SnapshotMeta{Index: m.Index, Term: m.LogTerm, Membership: h.membership.current()}}
		return h.Step(m)
	case "reload": // with the last entry gone from the disk
		h.disk.Entries = h.disk.Entries[:len(h.disk.Entries)-1]
		_, err := New(h.cfg, h.disk)
		return err
	case "want":
		got := h.describe()
		for _, arg := range args {
			if key, value, _ := strings.Cut(arg, "="); got[key] != value {
				return fmt.Errorf("%s is %q in %v", arg, got[key], got)
			}
		}
	default:
		return errors.New("unknown command")
	}
	return nil
}

func (s *script) expireElectionTimers() {
	for _, h := range s.replicas {
		h.electionElapsed = s.cfg.ElectionTicks
	}
}

func (s *script) deliverBetween(from, to uint64) {
	wire := s.messages
	s.messages = nil
	for _, m := range wire {
		if m.From == from && m.To == to {
			s.deliver(m)
		} else {
			s.messages = append(s.messages, m)
		}
	}
	s.processReady(s.replicas[to])
}

// describe returns what "want" compares.
func (h *testReplica) describe() map[string]string {
	s := h.Status()
	list := func(items any) string { return strings.ReplaceAll(strings.Trim(fmt.Sprint(items), "[]"), " ", ",") }
	var members, reads []string
	var terms []uint64
	for _, r := range s.Membership.GetReplicas() {
		members = append(members, fmt.Sprint(r.Id, r.Address, map[bool]string{true: "L"}[r.Learner]))
	}
	for _, e := range h.log.entries {
		terms = append(terms, e.Term)
	}
	for _, a := range h.readResults {
		reads = append(reads, fmt.Sprintf("%d@%d%s", a.Context, a.Index, map[bool]string{true: "!"}[a.Rejected]))
	}
	return map[string]string{
		"role": s.Role.String(), "term": fmt.Sprint(s.Term), "leader": fmt.Sprint(s.Leader), "commit": fmt.Sprint(s.Commit),
		"last": fmt.Sprint(s.LastIndex), "state": list(h.state), "members": list(members),
		"terms": list(terms), "reads": list(reads),
	}
}
