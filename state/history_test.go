package state

import (
	"fmt"
	"math/rand"
	"strings"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

// noTimeLimit lets a check take as long as it needs: with a limit the verdict depends on the load.
const noTimeLimit time.Duration = 0

// clientHistory runs clients that share a machine through a log in which commands
// wait and come twice, and which restores the machine from a snapshot at times.
type clientHistory struct {
	rng     *rand.Rand
	m       *Machine
	ops     []porcupine.Operation
	pending []pendingOp
	now     int64
}

type pendingOp struct {
	op  int
	cmd *apiv1.Command
	// copies of the command are still on their way.
	copies int
}

func (h *clientHistory) call(client int, input any, cmd *apiv1.Command) {
	h.now++
	h.ops = append(h.ops, porcupine.Operation{ClientId: client, Input: input, Call: h.now})
	h.pending = append(h.pending, pendingOp{op: len(h.ops) - 1, cmd: cmd, copies: 1 + h.rng.Intn(2)})
}

// applyPending applies one of the waiting commands.
func (h *clientHistory) applyPending() {
	i := h.rng.Intn(len(h.pending))
	p := &h.pending[i]
	h.now++
	if h.rng.Intn(10) == 0 {
		data, _ := h.m.Snapshot()
		if err := h.m.Restore(data); err != nil {
			panic(err)
		}
	}
	res := h.m.Apply(uint64(h.now), proto.CloneOf(p.cmd))
	if op := &h.ops[p.op]; op.Output == nil {
		op.Output, op.Return = res, h.now
	} else {
		// A copy may take effect on its own: a claim that was refused at first can be
		// granted to nobody later. It must still never be a second open attempt.
		h.ops = append(h.ops, porcupine.Operation{ClientId: op.ClientId, Input: op.Input, Call: op.Call, Output: res, Return: h.now})
	}
	p.copies--
	if p.copies == 0 {
		h.pending = append(h.pending[:i], h.pending[i+1:]...)
	}
}

func (h *clientHistory) check(t *testing.T, seed int64, model porcupine.Model) {
	for len(h.pending) > 0 {
		h.applyPending()
	}
	if got := porcupine.CheckOperationsTimeout(model, h.ops, noTimeLimit); got != porcupine.Ok {
		for _, op := range h.ops {
			t.Logf("%d..%d %v -> %v", op.Call, op.Return, op.Input, op.Output)
		}
		t.Fatalf("seed %d: history is %v", seed, got)
	}
}

// configState is the model of submissions: the version, each id's digest and first answer.
type configState struct {
	version uint64
	answers string // "id digest verdict version;" per submission, in order
}

func stepSubmit(st, in, out any) (bool, any) {
	s, cmd, res := st.(configState), in.(*apiv1.Submit), out.(*apiv1.Result)
	for _, answer := range strings.Split(s.answers, ";") {
		var id, digest string
		var verdict, version int
		fmt.Sscanf(answer, "%s %s %d %d", &id, &digest, &verdict, &version)
		if id != cmd.SubmissionId {
			continue
		}
		if digest != textDigest(cmd) {
			return res.Verdict == apiv1.Verdict_VERDICT_REFUSED, s
		}
		want := apiv1.Verdict(verdict)
		accepted := want == apiv1.Verdict_VERDICT_ACCEPTED && res.Verdict == apiv1.Verdict_VERDICT_REPEATED
		return (res.Verdict == want || accepted) && res.ConfigurationVersion == uint64(version), s
	}
	next := s
	want := apiv1.Verdict_VERDICT_CONFLICT
	if cmd.BaseVersion == s.version {
		next.version++
		want = apiv1.Verdict_VERDICT_ACCEPTED
	}
	next.answers += fmt.Sprintf("%s %s %d %d;", cmd.SubmissionId, textDigest(cmd), want, next.version)
	return res.Verdict == want && res.ConfigurationVersion == next.version, next
}

// Symptom: a configuration that was accepted reverts, or two operators are both
// told that they won. Sequence: operators race with equal versions and resend
// after lost answers, whole or by delta, with the same text or another one;
// commands come late and twice; the machine is restored in between. Cause: an
// answer not bound to its id, or a delta applied to another base.
func TestSubmissionsAreLinearizable(t *testing.T) {
	model := porcupine.Model{Init: func() any { return configState{} }, Step: stepSubmit}
	for seed := range int64(300) {
		h := &clientHistory{rng: rand.New(rand.NewSource(seed)), m: New()}
		for range 30 {
			if h.rng.Intn(2) == 0 && len(h.pending) > 0 {
				h.applyPending()
				continue
			}
			n := h.rng.Intn(9)
			s := &apiv1.Submit{
				SubmissionId:  fmt.Sprint("s", n),
				BaseVersion:   h.m.Configuration().Version,
				Configuration: &apiv1.Configuration{TextDigest: fmt.Sprint("d", n+100*max(0, h.rng.Intn(6)-4))},
			}
			s.Configuration.Text = fmt.Sprintf("shared\n%s\n", s.Configuration.TextDigest)
			if h.rng.Intn(2) == 0 {
				s = asDelta(h.m.Configuration(), s)
			}
			h.call(h.rng.Intn(4), s, &apiv1.Command{Body: &apiv1.Command_Submit{Submit: s}})
		}
		h.check(t, seed, model)
		if c := h.m.Configuration(); c.Version > 0 && c.Text != fmt.Sprintf("shared\n%s\n", c.TextDigest) {
			t.Fatalf("seed %d: version %d has the text %q under digest %s", seed, c.Version, c.Text, c.TextDigest)
		}
	}
}

// claimState is the model of one key: whose attempt is open, and how it was settled.
type claimState struct {
	request string
	attempt uint32
	outcome apiv1.Outcome
}

func stepClaim(st, in, out any) (bool, any) {
	s, res := st.(claimState), out.(*apiv1.Result)
	switch c := in.(type) {
	case *apiv1.Claim:
		mine := claimState{request: c.RequestId, attempt: c.Attempt}
		open := s.request != "" && s.outcome == apiv1.Outcome_OUTCOME_UNSPECIFIED
		var grant bool
		switch {
		case c.ReplacesAttempt != 0:
			grant = open && (s == mine || s.request == c.RequestId && s.attempt == c.ReplacesAttempt && c.Attempt > s.attempt)
		case s.outcome == apiv1.Outcome_OUTCOME_NOT_RUN:
			grant = s.request != c.RequestId || c.Attempt > s.attempt
		default:
			grant = s.request == "" || s == mine
		}
		if grant {
			return res.Claim.Granted, mine
		}
		return !res.Claim.Granted, s
	case *apiv1.Settle:
		open := s.outcome == apiv1.Outcome_OUTCOME_UNSPECIFIED
		better := s.outcome == apiv1.Outcome_OUTCOME_UNKNOWN && c.Outcome != s.outcome
		if s.request != c.RequestId || s.attempt != c.Attempt || !open && !better {
			return res.Verdict != apiv1.Verdict_VERDICT_ACCEPTED, s
		}
		s.outcome = c.Outcome
		return res.Verdict == apiv1.Verdict_VERDICT_ACCEPTED, s
	}
	return false, s
}

// Symptom: a charge runs twice. Sequence: the same key through two entry hosts at
// once, resent after lost answers, replaced after a proven "not run", settled late
// and twice, restored from snapshots. Cause: two attempts of a key open at once,
// or one opened after the request has run.
func TestClaimsAreLinearizable(t *testing.T) {
	model := porcupine.Model{Init: func() any { return claimState{} }, Step: stepClaim}
	outcomes := []apiv1.Outcome{apiv1.Outcome_OUTCOME_ANSWERED, apiv1.Outcome_OUTCOME_NOT_RUN, apiv1.Outcome_OUTCOME_NOT_RUN, apiv1.Outcome_OUTCOME_UNKNOWN}
	for seed := range int64(300) {
		h := &clientHistory{rng: rand.New(rand.NewSource(seed)), m: New()}
		for range 30 {
			request, attempt := fmt.Sprint("r", h.rng.Intn(3)), uint32(h.rng.Intn(3)+1)
			switch {
			case h.rng.Intn(2) == 0 && len(h.pending) > 0:
				h.applyPending()
			case h.rng.Intn(2) == 0:
				c := &apiv1.Claim{Key: "k", RequestId: request, Attempt: attempt, ReplacesAttempt: uint32(max(0, h.rng.Intn(4)-1))}
				h.call(h.rng.Intn(4), c, &apiv1.Command{Body: &apiv1.Command_Claim{Claim: c}})
			default:
				s := &apiv1.Settle{Key: "k", RequestId: request, Attempt: attempt, Outcome: outcomes[h.rng.Intn(4)]}
				h.call(h.rng.Intn(4), s, &apiv1.Command{Body: &apiv1.Command_Settle{Settle: s}})
			}
		}
		h.check(t, seed, model)
	}
}
