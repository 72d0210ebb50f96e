package control

import (
	"context"
	"time"

	"github.com/sourcegraph/conc/pool"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/logging/event"
	"github.com/cairnlift/cairnlift/place"
	"github.com/cairnlift/cairnlift/state"
)

const (
	// maxConcurrentProposals bounds the commands of one step that wait for their commit
	// together; the log groups them.
	maxConcurrentProposals = 64
	// roundTimeDivisor and maxRoundPause space rounds out: a round takes at most one part
	// in roundTimeDivisor of the time, unless that is longer than maxRoundPause.
	roundTimeDivisor = 50
	maxRoundPause    = time.Second
	// proposalTimeout bounds the leader's own commands.
	proposalTimeout = 5 * time.Second
)

// leadLoop becomes the coordinator of each term that this replica leads in, and
// runs its rounds.
func (r *Replica) leadLoop(ctx context.Context) {
	for ctx.Err() == nil {
		wait := r.cfg.PlanInterval
		if c := r.coordinatorOfTerm(ctx); c != nil {
			took := r.runRound(ctx, c)
			// Rounds cost more with more workers; their share of a core stays bounded.
			wait = max(wait, min(took*roundTimeDivisor, maxRoundPause))
		}
		sleep(ctx, wait)
	}
}

// coordinatorOfTerm returns the coordinator of the term that this replica leads in, nil
// when it does not lead or is not ready to.
func (r *Replica) coordinatorOfTerm(ctx context.Context) *coordinator {
	term, ok := r.log().Leading()
	current := r.currentCoordinator()
	if ok && current != nil && current.term == term {
		return current
	}
	r.setCoordinator(nil)
	if !ok {
		return nil
	}
	return r.takeOver(ctx, term)
}

// takeOver makes this replica ready to lead: once its Lead command is applied,
// everything of earlier terms is, and nothing that an earlier leader judged by
// its leases is accepted any more. The leases count from then.
func (r *Replica) takeOver(ctx context.Context, term uint64) *coordinator {
	lead := &apiv1.Command{Body: &apiv1.Command_Lead{Lead: &apiv1.Lead{Term: term}}}
	res, err := r.proposeAsLeader(ctx, lead)
	if err != nil || res.Verdict != apiv1.Verdict_VERDICT_ACCEPTED {
		return nil
	}
	now := r.cfg.Now()
	l := newLeases(r.cfg.LeaseDuration, r.cfg.ClockRateErrorPPM, now)
	c := newCoordinator(term, l, r.cfg.Planner, r.throttles)
	r.setCoordinator(c)
	event.CoordinatorReady.Write(r.logger, event.Term(term), event.Index(res.Index))
	return c
}

func (r *Replica) currentCoordinator() *coordinator {
	r.coordinatorMu.Lock()
	defer r.coordinatorMu.Unlock()
	return r.coordinator
}

func (r *Replica) setCoordinator(c *coordinator) {
	r.coordinatorMu.Lock()
	defer r.coordinatorMu.Unlock()
	r.coordinator = c
}

func (r *Replica) proposeAsLeader(ctx context.Context, cmd *apiv1.Command) (*apiv1.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, proposalTimeout)
	defer cancel()
	return r.ProposeLocal(ctx, cmd)
}

// proposeAll commits commands together and returns their results, nil for each
// that failed. A command that failed is made anew from the state when it is
// still needed.
func (r *Replica) proposeAll(ctx context.Context, cmds []*apiv1.Command) []*apiv1.Result {
	results := make([]*apiv1.Result, len(cmds))
	if len(cmds) == 0 {
		return results
	}
	p := pool.New().WithMaxGoroutines(maxConcurrentProposals)
	for i, cmd := range cmds {
		p.Go(func() {
			res, err := r.proposeAsLeader(ctx, cmd)
			if err != nil {
				event.CommandFailed.Write(r.logger, event.Command(commandName(cmd)), event.Err(err))
				return
			}
			results[i] = res
		})
	}
	p.Wait()
	return results
}

// runRound does what is due and plans once. It returns the time that the leader
// worked on it itself, waiting for commits left out.
func (r *Replica) runRound(ctx context.Context, c *coordinator) time.Duration {
	began := time.Now()
	now := r.cfg.Now()
	expiries, forget := r.dueCommands(c, now)
	took := time.Since(began)
	r.expire(ctx, c, expiries)
	r.proposeAll(ctx, appendCommand(nil, forget))
	began = time.Now()
	cmds, plan := r.plan(c, now)
	took += time.Since(began)
	r.metrics.round.Update(took)
	results := r.proposeAll(ctx, cmds)
	r.decisions.add(now, plan.Decisions)
	r.decisions.logActions(plan)
	r.logRefusedGrants(cmds, results)
	return took
}

// dueCommands returns what the passing of time asks for; see coordinator.due.
func (r *Replica) dueCommands(c *coordinator, now time.Time) (expiries map[string]*apiv1.Command, forget *apiv1.Command) {
	r.withState(func(m *state.Machine) { expiries, forget = c.dueCommands(now, m) })
	return expiries, forget
}

// expire commits the expiries. A worker's leases may be renewed again only when
// its Expire is known to be applied; otherwise the next round proposes it anew.
func (r *Replica) expire(ctx context.Context, c *coordinator, expiries map[string]*apiv1.Command) {
	workers := sortedKeys(expiries)
	cmds := make([]*apiv1.Command, len(workers))
	for i, w := range workers {
		cmds[i] = expiries[w]
		event.LeasesExpired.Write(r.logger, event.Worker(w), event.AttemptCount(len(cmds[i].GetExpire().Tasks)))
	}
	results := r.proposeAll(ctx, cmds)
	r.coordinatorMu.Lock()
	defer r.coordinatorMu.Unlock()
	for i, w := range workers {
		if results[i] != nil {
			c.leases.endExpiry(w)
		}
	}
}

// plan lets go of the applied state before it plans: a round takes long, and
// commands have to be applied meanwhile.
func (r *Replica) plan(c *coordinator, now time.Time) ([]*apiv1.Command, place.Plan) {
	r.coordinatorMu.Lock()
	defer r.coordinatorMu.Unlock()
	r.mu.RLock()
	s := c.snapshot(now, r.machine)
	r.mu.RUnlock()
	return c.plan(now, s)
}

func (r *Replica) logRefusedGrants(cmds []*apiv1.Command, results []*apiv1.Result) {
	for i, cmd := range cmds {
		for n, g := range cmd.GetPlace().GetGrants() {
			if results[i] == nil || results[i].Grants[n].Verdict == apiv1.Verdict_VERDICT_ACCEPTED {
				continue
			}
			event.GrantRefused.Write(r.decisions.logger, event.TaskName(g.Task), event.Attempt(g.Attempt),
				event.Worker(g.Worker), event.Reason(results[i].Grants[n].Message))
		}
	}
}

// RenewLocal answers workers' heartbeats if this replica leads. Errors:
// *NotLeaderError, *UnavailableError.
func (r *Replica) RenewLocal(ctx context.Context, beats []*apiv1.WorkerHeartbeat) ([]*apiv1.WorkerOrders, error) {
	term, ok := r.log().Leading()
	if !ok {
		return nil, &NotLeaderError{LeaderAddress: r.log().LeaderAddress()}
	}
	c := r.currentCoordinator()
	if c == nil || c.term != term {
		return nil, &UnavailableError{RetryAfter: retryAfter, Cause: "the leader is not ready yet"}
	}
	r.commitReports(ctx, c, beats)
	renewed := r.renewLeases(c, beats)
	// The barrier begins after the leases were counted: see leases.
	if _, err := r.log().ReadBarrier(ctx); err != nil {
		return nil, &UnavailableError{RetryAfter: retryAfter, Cause: "leadership can't be confirmed: " + err.Error()}
	}
	if now, ok := r.log().Leading(); !ok || now != term {
		return nil, &NotLeaderError{LeaderAddress: r.log().LeaderAddress()}
	}
	return r.composeOrders(c, beats, renewed), nil
}

// commitReports commits registrations and ends of attempts before the heartbeats
// that told of them are answered.
func (r *Replica) commitReports(ctx context.Context, c *coordinator, beats []*apiv1.WorkerHeartbeat) {
	now := r.cfg.Now()
	var registrations, ends []*apiv1.Command
	r.withState(func(m *state.Machine) {
		for _, hb := range beats {
			reg, end := c.observe(now, hb, m)
			registrations = appendCommand(registrations, reg)
			ends = appendCommand(ends, end)
		}
	})
	// Ends name the incarnation that the registration brings.
	results := r.proposeAll(ctx, registrations)
	r.proposeAll(ctx, ends)
	r.proposeAll(ctx, r.wakeCommands(registrations, results))
}

func appendCommand(list []*apiv1.Command, cmd *apiv1.Command) []*apiv1.Command {
	if cmd == nil {
		return list
	}
	return append(list, cmd)
}

// withState runs f with the coordinator and the applied state locked.
func (r *Replica) withState(f func(m *state.Machine)) {
	r.coordinatorMu.Lock()
	defer r.coordinatorMu.Unlock()
	r.mu.RLock()
	defer r.mu.RUnlock()
	f(r.machine)
}

// wakeCommands returns commands for parked jobs that a registered worker could hold.
func (r *Replica) wakeCommands(registrations []*apiv1.Command, results []*apiv1.Result) []*apiv1.Command {
	r.mu.RLock()
	defer r.mu.RUnlock()
	var cmds []*apiv1.Command
	for i, cmd := range registrations {
		if results[i].GetVerdict() != apiv1.Verdict_VERDICT_ACCEPTED {
			continue
		}
		cmds = appendCommand(cmds, wakeCommand(state.ResourcesOf(cmd.GetRegisterWorker().Capacity), r.machine))
	}
	return cmds
}

func (r *Replica) renewLeases(c *coordinator, beats []*apiv1.WorkerHeartbeat) []bool {
	renewed := make([]bool, len(beats))
	now := r.cfg.Now()
	r.withState(func(m *state.Machine) {
		for i, hb := range beats {
			renewed[i] = c.renew(now, hb, m)
		}
	})
	return renewed
}

func (r *Replica) composeOrders(c *coordinator, beats []*apiv1.WorkerHeartbeat, renewed []bool) []*apiv1.WorkerOrders {
	orders := make([]*apiv1.WorkerOrders, len(beats))
	r.withState(func(m *state.Machine) {
		for i, hb := range beats {
			if !renewed[i] {
				orders[i] = notRenewedOrders(hb)
				continue
			}
			orders[i] = c.orders(hb, m)
		}
	})
	return orders
}
