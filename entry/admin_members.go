package entry

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/cairnlift/cairnlift/admin"
	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/control"
	"github.com/cairnlift/cairnlift/quorum"
	"github.com/cairnlift/cairnlift/quorum/node"
)

// Members implements admin.Backend. How far each replica has come is known to
// the leader only.
func (b backend) Members(ctx context.Context) (*admin.MemberList, error) {
	return callLeader(ctx, b,
		func(ctx context.Context, c *admin.Client) (*admin.MemberList, error) { return c.Members(ctx) },
		func(context.Context) (*admin.MemberList, error) { return b.localMembers(), nil })
}

func (b backend) localMembers() *admin.MemberList {
	st := b.node.Status()
	list := &admin.MemberList{Members: []admin.Member{}, Term: st.Term, Commit: st.Commit}
	for _, r := range st.Membership.GetReplicas() {
		list.Members = append(list.Members, admin.Member{
			ID:      r.GetId(),
			Name:    r.GetName(),
			Address: r.GetAddress(),
			Role:    memberRole(&st, r),
			Match:   st.Match[r.GetId()],
		})
	}
	return list
}

func memberRole(st *quorum.Status, r *apiv1.Replica) string {
	switch {
	case r.GetId() == st.Leader:
		return "leader"
	case r.GetLearner():
		return "learner"
	}
	return "follower"
}

// AddMember implements admin.Backend.
func (b backend) AddMember(ctx context.Context, m admin.Member) error {
	_, err := callLeader(ctx, b,
		func(ctx context.Context, c *admin.Client) (*admin.MemberList, error) { return c.AddMember(ctx, m) },
		func(ctx context.Context) (*admin.MemberList, error) { return nil, b.addMemberLocally(ctx, m) })
	return err
}

// addMemberLocally takes a host in as a learner. The host tells its own replica id:
// a name and an address alone don't say which disk answers there.
func (b backend) addMemberLocally(ctx context.Context, m admin.Member) error {
	client := apiv1.NewQuorumProtobufClient("http://"+m.Address, b.internalClient)
	id, err := client.Identify(ctx, &apiv1.IdentifyRequest{Cell: defaultCell})
	if err != nil {
		return admin.Errorf(admin.CodeUnavailable, "the host at %s does not answer: %v", m.Address, err)
	}
	if id.GetName() != m.Name {
		return admin.Errorf(admin.CodeInvalid, "the host at %s is %q, not %q", m.Address, id.GetName(), m.Name)
	}
	for _, r := range b.node.Status().Membership.GetReplicas() {
		if r.GetId() == id.GetReplicaId() {
			return nil
		}
	}
	return memberError(b.node.AddLearner(ctx, &apiv1.Replica{Id: id.GetReplicaId(), Name: m.Name, Address: m.Address}))
}

// RemoveMember implements admin.Backend.
func (b backend) RemoveMember(ctx context.Context, name string) error {
	_, err := callLeader(ctx, b,
		func(ctx context.Context, c *admin.Client) (*admin.MemberList, error) {
			return c.RemoveMember(ctx, name)
		},
		func(ctx context.Context) (*admin.MemberList, error) { return nil, b.removeMemberLocally(ctx, name) })
	return err
}

func (b backend) removeMemberLocally(ctx context.Context, name string) error {
	for _, r := range b.node.Status().Membership.GetReplicas() {
		if r.GetName() != name {
			continue
		}
		if err := b.node.Remove(ctx, r.GetId()); err != nil {
			return memberError(err)
		}
	}
	return nil
}

// memberError words a change of membership that failed.
func memberError(err error) error {
	var unknown *node.UnknownError
	var notLeader *node.NotLeaderError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &unknown), errors.Is(err, context.DeadlineExceeded), errors.Is(err, context.Canceled):
		return &control.UnknownError{Cause: err.Error()}
	case errors.As(err, &notLeader):
		return &control.UnavailableError{RetryAfter: defaultRetryAfter, Cause: err.Error()}
	}
	return admin.Errorf(admin.CodeConflict, "the group refuses the change: %v", err)
}
