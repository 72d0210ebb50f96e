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

// scriptedPeer is a control host that answers each Propose with the next of its answers, and
// repeats the last one. A nil answer closes the connection instead.
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

// closedAddress returns an address on which no server listens.
func closedAddress(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// A cancellation must not be applied a second time after an operator restored the job, and a
// submission must not fail while another host leads. The response is lost, the leader does not know
// the outcome, or hosts name each other as leader. A command without an identity of its own must
// not be resent, and a command that was not proposed must be. A job must not be reported as refused
// while an earlier copy of its submission may still be committed.
func TestForwarderResendsOnlySafeCommands(t *testing.T) {
	submit := submission("s", 0)
	cancel := &apiv1.Command{Body: &apiv1.Command_Cancel{Cancel: &apiv1.Cancel{Jobs: []string{"j"}}}}
	done := &apiv1.ProposeResponse{Result: accepted()}
	unknown := &apiv1.ProposeResponse{Unknown: true}
	notLeader := &apiv1.ProposeResponse{NotLeader: true}
	job := &apiv1.Command{Body: &apiv1.Command_Jobs{Jobs: &apiv1.JobsCommand{Body: &apiv1.JobsCommand_Submit{Submit: &apiv1.SubmitJob{}}}}}
	validJob := &apiv1.Command{Body: &apiv1.Command_Jobs{Jobs: &apiv1.JobsCommand{Body: &apiv1.JobsCommand_Submit{Submit: &apiv1.SubmitJob{
		Spec: &apiv1.JobSpec{Id: "j", Steps: []*apiv1.JobStep{{Count: 1}}},
	}}}}}
	refusedAs := func(o apiv1.JobOutcome) *apiv1.ProposeResponse {
		return &apiv1.ProposeResponse{Result: &apiv1.Result{Job: o}}
	}
	refused, invalid := refusedAs(apiv1.JobOutcome_JOB_OUTCOME_HELD), refusedAs(apiv1.JobOutcome_JOB_OUTCOME_INVALID)
	overLimit, byLoad := refusedAs(apiv1.JobOutcome_JOB_OUTCOME_OVER_LIMIT), refusedAs(apiv1.JobOutcome_JOB_OUTCOME_REFUSED)
	full, noQueue := refusedAs(apiv1.JobOutcome_JOB_OUTCOME_FULL), refusedAs(apiv1.JobOutcome_JOB_OUTCOME_NO_QUEUE)
	noConfiguration := refusedAs(apiv1.JobOutcome_JOB_OUTCOME_NO_CONFIGURATION)
	for name, c := range map[string]struct {
		cmd     *apiv1.Command
		answers []*apiv1.ProposeResponse
		calls   int // 0: more than one
		err     any
	}{
		"submission, answer lost":            {submit, []*apiv1.ProposeResponse{nil, done}, 2, nil},
		"submission, leader does not know":   {submit, []*apiv1.ProposeResponse{unknown, done}, 2, nil},
		"submission, never known":            {submit, []*apiv1.ProposeResponse{unknown, notLeader}, 0, new(*UnknownError)},
		"submission, never proposed":         {submit, []*apiv1.ProposeResponse{notLeader}, 0, new(*UnavailableError)},
		"cancellation, answer lost":          {cancel, []*apiv1.ProposeResponse{nil, done}, 1, new(*UnknownError)},
		"cancellation, leader does not know": {cancel, []*apiv1.ProposeResponse{unknown, done}, 1, new(*UnknownError)},
		"cancellation, leader comes later":   {cancel, []*apiv1.ProposeResponse{notLeader, done}, 2, nil},
		"job refused, answer lost before":    {job, []*apiv1.ProposeResponse{nil, refused}, 2, new(*UnknownError)},
		"job over limit, answer lost before": {job, []*apiv1.ProposeResponse{nil, overLimit}, 2, new(*UnknownError)},
		"job refused by load, answer lost":   {job, []*apiv1.ProposeResponse{nil, byLoad}, 2, new(*UnknownError)},
		"log full, answer lost before":       {job, []*apiv1.ProposeResponse{nil, full}, 2, new(*UnknownError)},
		"no queue, answer lost before":       {job, []*apiv1.ProposeResponse{nil, noQueue}, 2, new(*UnknownError)},
		"no configuration, answer lost":      {job, []*apiv1.ProposeResponse{nil, noConfiguration}, 2, new(*UnknownError)},
		"job invalid, answer lost before":    {job, []*apiv1.ProposeResponse{nil, invalid}, 2, nil},
		"path invalid, answer lost before":   {validJob, []*apiv1.ProposeResponse{nil, invalid}, 2, new(*UnknownError)},
		"path invalid at once":               {validJob, []*apiv1.ProposeResponse{invalid}, 1, nil},
		"log full at once":                   {job, []*apiv1.ProposeResponse{full}, 1, nil},
		"job refused at once":                {job, []*apiv1.ProposeResponse{refused}, 1, nil},
		"job refused, leader comes later":    {job, []*apiv1.ProposeResponse{notLeader, refused}, 2, nil},
		"job accepted, answer lost before":   {job, []*apiv1.ProposeResponse{nil, done}, 2, nil},
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

// Guards against a job that is answered as refused, so "not run", while an earlier attempt of the same
// call may still be committed.
func TestRefusalAfterLostAttemptIsUnknown(t *testing.T) {
	refused := &apiv1.ProposeResponse{Result: &apiv1.Result{Job: apiv1.JobOutcome_JOB_OUTCOME_REFUSED, RetryAfterMs: 1500}}
	for name, c := range map[string]struct {
		answers []*apiv1.ProposeResponse
		unknown bool
	}{
		"refused at once":     {[]*apiv1.ProposeResponse{refused}, false},
		"no leader before":    {[]*apiv1.ProposeResponse{{NotLeader: true}, refused}, false},
		"answer lost before":  {[]*apiv1.ProposeResponse{nil, refused}, true},
		"unknown before that": {[]*apiv1.ProposeResponse{{Unknown: true}, {NotLeader: true}, refused}, true},
	} {
		t.Run(name, func(t *testing.T) {
			leader := &scriptedPeer{answers: c.answers}
			f := NewForwarder([]string{leader.serve(t)}, &http.Client{})
			ctx, stop := context.WithTimeout(context.Background(), 10*time.Second)
			defer stop()
			res, err := f.Propose(ctx, &apiv1.Command{Body: &apiv1.Command_Jobs{Jobs: &apiv1.JobsCommand{
				Body: &apiv1.JobsCommand_Submit{Submit: &apiv1.SubmitJob{Spec: &apiv1.JobSpec{Id: "j"}}},
			}}})
			if c.unknown && !errors.As(err, new(*UnknownError)) || !c.unknown && res.GetRetryAfterMs() != 1500 {
				t.Errorf("%v, %v", res, err)
			}
		})
	}
}
