package control

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

// scriptedPeer is a control host that answers each Propose with the next of its answers,
// then with the last one again. A nil answer cuts the connection instead.
type scriptedPeer struct {
	apiv1.Control
	calls   int
	answers []*apiv1.ProposeResponse
}

func (p *scriptedPeer) Propose(context.Context, *apiv1.ProposeRequest) (*apiv1.ProposeResponse, error) {
	a := p.answers[min(p.calls, len(p.answers)-1)]
	p.calls++
	if a == nil {
		panic(http.ErrAbortHandler)
	}
	return a, nil
}

func (p *scriptedPeer) serve(t *testing.T) string {
	s := httptest.NewServer(apiv1.NewControlServer(p))
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

// closedAddress returns an address where nothing listens.
func closedAddress(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// Symptom: a cancellation is carried out a second time, after an operator brought
// the job back; or a submission is given up though another host leads. Sequence:
// the answer is lost, the leader can't tell, hosts name each other as leader.
// Cause: a command sent again that has no identity of its own, or not sent again
// though nothing was proposed.
func TestForwarderResendsOnlySafeCommands(t *testing.T) {
	submit := submission("s", 0)
	cancel := &apiv1.Command{Body: &apiv1.Command_Cancel{Cancel: &apiv1.Cancel{Jobs: []string{"j"}}}}
	done := &apiv1.ProposeResponse{Result: accepted()}
	unknown := &apiv1.ProposeResponse{Unknown: true}
	notLeader := &apiv1.ProposeResponse{NotLeader: true}
	for name, c := range map[string]struct {
		cmd     *apiv1.Command
		answers []*apiv1.ProposeResponse
		calls   int // 0: more than one
		err     any
	}{
		"submission, answer lost":          {submit, []*apiv1.ProposeResponse{nil, done}, 2, nil},
		"submission, leader can't tell":    {submit, []*apiv1.ProposeResponse{unknown, done}, 2, nil},
		"submission, never known":          {submit, []*apiv1.ProposeResponse{unknown, notLeader}, 0, new(*UnknownError)},
		"submission, never proposed":       {submit, []*apiv1.ProposeResponse{notLeader}, 0, new(*UnavailableError)},
		"cancellation, answer lost":        {cancel, []*apiv1.ProposeResponse{nil, done}, 1, new(*UnknownError)},
		"cancellation, leader can't tell":  {cancel, []*apiv1.ProposeResponse{unknown, done}, 1, new(*UnknownError)},
		"cancellation, leader comes later": {cancel, []*apiv1.ProposeResponse{notLeader, done}, 2, nil},
	} {
		t.Run(name, func(t *testing.T) {
			leader := &scriptedPeer{answers: c.answers}
			address := leader.serve(t)
			hinting := &scriptedPeer{answers: []*apiv1.ProposeResponse{{NotLeader: true, LeaderAddress: address}}}
			f := NewForwarder([]string{closedAddress(t), hinting.serve(t)}, &http.Client{})
			ctx, stop := context.WithTimeout(context.Background(), 10*time.Second)
			if c.calls == 0 {
				ctx, stop = context.WithTimeout(context.Background(), 500*time.Millisecond)
			}
			defer stop()
			_, err := f.Propose(ctx, c.cmd)
			if (c.err == nil) != (err == nil) || c.err != nil && !errors.As(err, c.err) {
				t.Errorf("error %v", err)
			}
			if c.calls != 0 && leader.calls != c.calls || c.calls == 0 && leader.calls < 2 {
				t.Errorf("%d calls of the leader", leader.calls)
			}
		})
	}
}

func accepted() *apiv1.Result { return &apiv1.Result{Verdict: apiv1.Verdict_VERDICT_ACCEPTED} }
