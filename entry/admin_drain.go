package entry

import (
	"context"
	"strings"

	"github.com/cairnlift/cairnlift/admin"
	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/member"
)

// Drain implements admin.Backend. The drain of a worker is recorded in the replicated state and
// lasts until it is undone. The drain of a target is an order to its agent and lasts as long as
// the target's announcement.
func (b backend) Drain(ctx context.Context, r admin.DrainRequest) (*admin.DrainResponse, error) {
	if r.Kind != admin.KindWorker {
		if address, target := b.findTarget(r.Name); address != "" {
			return b.drainTarget(ctx, r, address, target)
		}
	}
	if r.Kind == admin.KindTarget {
		return nil, admin.Errorf(admin.CodeNotFound, "there is no target %q", r.Name)
	}
	return b.drainWorker(ctx, r)
}

// findTarget returns the address of a target's agent and the target's name on that agent. A name
// that several agents use must be given as agent/target.
func (b backend) findTarget(name string) (address, target string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	agent, local, qualified := strings.Cut(name, "/")
	var found []member.View
	for _, v := range b.directory.Views() {
		if qualified && v.Info.GetName() != agent {
			continue
		}
		if !qualified {
			local = name
		}
		for _, t := range v.Info.GetTargets() {
			if t.GetName() == local {
				found = append(found, v)
			}
		}
	}
	if len(found) != 1 {
		return "", ""
	}
	return found[0].Info.GetAddress(), local
}

func (b backend) drainTarget(ctx context.Context, r admin.DrainRequest, address, target string) (*admin.DrainResponse, error) {
	if r.Undo {
		return nil, admin.Errorf(admin.CodeInvalid, "a target's drain cannot be undone; it ends when the target announces itself again")
	}
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	resp, err := b.agents.client(address).Drain(ctx, &apiv1.DrainRequest{Target: target})
	if err != nil {
		return nil, admin.Errorf(admin.CodeUnavailable, "the target's agent is not responding: %v", err)
	}
	return &admin.DrainResponse{
		Kind:     admin.KindTarget,
		Draining: true,
		InFlight: int(resp.GetInFlight()),
	}, nil
}

func (b backend) drainWorker(ctx context.Context, r admin.DrainRequest) (*admin.DrainResponse, error) {
	res, err := b.control.Propose(ctx, &apiv1.Command{
		Body: &apiv1.Command_Drain{Drain: &apiv1.Drain{Worker: r.Name, Off: r.Undo, Operator: r.Operator}},
	})
	if err != nil {
		return nil, err
	}
	if v := res.GetVerdict(); v != apiv1.Verdict_VERDICT_ACCEPTED && v != apiv1.Verdict_VERDICT_REPEATED {
		return nil, admin.Errorf(admin.CodeNotFound, "%s", res.GetMessage())
	}
	out := &admin.DrainResponse{Kind: admin.KindWorker, Draining: !r.Undo}
	if b.replica != nil {
		for _, w := range b.replica.Status().Workers {
			if w.Name == r.Name {
				out.InFlight = w.Tasks
			}
		}
	}
	return out, nil
}
