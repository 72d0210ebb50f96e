package entry

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cairnlift/cairnlift/admin"
	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/control"
)

// relayTimeout bounds a question that this entry passes on to the leader.
const relayTimeout = 2 * time.Second

// backend is the entry as the administration API sees it.
type backend struct{ *Entry }

var _ admin.Backend = backend{}

func (e *Entry) adminHandler() http.Handler {
	return e.withJobAPI(admin.Handler(backend{e}, e.registry))
}

// Propose implements admin.Backend.
func (b backend) Propose(ctx context.Context, cmd *apiv1.Command) (*apiv1.Result, error) {
	return b.control.Propose(ctx, cmd)
}

// Configuration implements admin.Backend.
func (b backend) Configuration() *apiv1.Configuration { return b.control.Configuration() }

// Changed implements admin.Backend.
func (b backend) Changed() <-chan struct{} { return b.control.Changed() }

// Ready implements admin.Backend.
func (b backend) Ready() error {
	if b.leaving.Load() {
		return errors.New("shutting down")
	}
	if !b.fresh() {
		return errors.New("the configuration was not confirmed within the staleness bound")
	}
	if b.services.Load().version < b.control.Configuration().GetVersion() {
		return errors.New("the newest configuration is not yet in force here")
	}
	if !b.agentsKnown() {
		return errors.New("the other entries' agents are not yet known here")
	}
	return nil
}

// Explain implements admin.Backend. Why a task waits is known to the leader
// only, so another replica asks it.
func (b backend) Explain(ctx context.Context, job string) (*admin.Explanation, error) {
	return callLeader(ctx, b,
		func(ctx context.Context, c *admin.Client) (*admin.Explanation, error) { return c.Explain(ctx, job) },
		func(context.Context) (*admin.Explanation, error) { return b.explainLocally(job) })
}

func (b backend) explainLocally(job string) (*admin.Explanation, error) {
	ex, ok := b.replica.Explain(job)
	if !ok {
		return nil, admin.Errorf(admin.CodeNotFound, "there is no job %q", job)
	}
	return explanation(ex), nil
}

// Decisions implements admin.Backend.
func (b backend) Decisions(ctx context.Context, q admin.DecisionQuery) (*admin.DecisionList, error) {
	list := &admin.DecisionList{Decisions: []admin.Decision{}}
	if q.Part != partPlace {
		list.Decisions = append(list.Decisions, b.decisions.list(q.Subject, q.Limit)...)
	}
	if q.Part == partRoute {
		return list, nil
	}
	placed, err := b.placements(ctx, q)
	if err != nil {
		return nil, err
	}
	list.Decisions = append(list.Decisions, placed...)
	slices.SortStableFunc(list.Decisions, func(x, y admin.Decision) int { return int(y.TimeMs - x.TimeMs) })
	if len(list.Decisions) > q.Limit {
		list.Decisions = list.Decisions[:q.Limit]
	}
	return list, nil
}

// placements returns the leader's decisions.
func (b backend) placements(ctx context.Context, q admin.DecisionQuery) ([]admin.Decision, error) {
	q.Part = partPlace
	list, err := callLeader(ctx, b,
		func(ctx context.Context, c *admin.Client) (*admin.DecisionList, error) { return c.Decisions(ctx, q) },
		func(context.Context) (*admin.DecisionList, error) { return b.localPlacements(q.Subject), nil })
	if err != nil {
		return nil, err
	}
	return list.Decisions, nil
}

func (b backend) localPlacements(task string) *admin.DecisionList {
	list := &admin.DecisionList{}
	for _, d := range slices.Backward(b.replica.Decisions()) {
		if task == "" || task == d.Task {
			list.Decisions = append(list.Decisions, placementDecision(d))
		}
	}
	return list
}

// callLeader asks the leader's administration API, or answers here when this host
// leads.
func callLeader[T any](ctx context.Context, b backend,
	there func(context.Context, *admin.Client) (T, error),
	here func(context.Context) (T, error),
) (T, error) {
	var none T
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	client, err := b.leaderClient()
	switch {
	case err != nil:
		return none, err
	case client != nil:
		return there(ctx, client)
	}
	return here(ctx)
}

// leaderClient returns a client for the leader's administration address, nil
// when this host leads itself.
func (b backend) leaderClient() (*admin.Client, error) {
	if b.replica != nil && b.replica.Status().Leading {
		return nil, nil
	}
	leader := b.leaderAddress()
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, p := range b.peers {
		if p.address == leader && p.adminAddress != "" {
			return admin.NewClient(admin.ClientOptions{Addresses: []string{p.adminAddress}})
		}
	}
	return nil, &control.UnavailableError{RetryAfter: defaultRetryAfter, Cause: "no leader is known here"}
}

func (e *Entry) leaderAddress() string {
	if e.replica != nil {
		return e.replica.Status().LeaderAddress
	}
	return e.follower.LeaderAddress()
}

func placementDecision(d control.RecordedDecision) admin.Decision {
	return admin.Decision{
		TimeMs:     d.At.UnixMilli(),
		Part:       partPlace,
		Subject:    d.Task,
		Attempt:    d.Attempt,
		Chosen:     d.Worker,
		Candidates: d.Candidates,
		Reason:     d.Reason,
	}
}
