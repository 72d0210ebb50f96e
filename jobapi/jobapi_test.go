package jobapi_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/control"
	"github.com/cairnlift/cairnlift/cordon"
	"github.com/cairnlift/cairnlift/jobapi"
)

// fakeBackend returns the same outcome and error for every command.
type fakeBackend struct {
	zoneOrders  []cordon.Order
	queueOrders []cordon.QueueOrder
	// submitted are the submitted jobs, and prioritized the IDs of those put first.
	submitted   []*apiv1.JobSpec
	prioritized []string
	outcome     apiv1.JobOutcome
	err         error
	read        *apiv1.JobsReadResponse
	calls       int
}

func (g *fakeBackend) result() (apiv1.JobOutcome, error) {
	g.calls++
	return g.outcome, g.err
}

func (g *fakeBackend) PutQueues(context.Context, *apiv1.QueueConfiguration) (apiv1.JobOutcome, error) {
	return g.result()
}

func (g *fakeBackend) Submit(_ context.Context, spec *apiv1.JobSpec) (apiv1.JobOutcome, error) {
	g.submitted = append(g.submitted, spec)
	return g.result()
}

func (g *fakeBackend) OrderQueue(_ context.Context, o cordon.QueueOrder) (apiv1.JobOutcome, error) {
	g.queueOrders = append(g.queueOrders, o)
	return g.result()
}

func (g *fakeBackend) PrioritizeJob(_ context.Context, id, _ string) (apiv1.JobOutcome, error) {
	g.prioritized = append(g.prioritized, id)
	return g.result()
}

func (g *fakeBackend) Cancel(context.Context, string, string, string) (apiv1.JobOutcome, error) {
	return g.result()
}

func (g *fakeBackend) PutWave(context.Context, *apiv1.MaintenanceWave) (apiv1.JobOutcome, error) {
	return g.result()
}

func (g *fakeBackend) RequestMove(context.Context, *apiv1.RequestMove) (apiv1.JobOutcome, error) {
	return g.result()
}

func (g *fakeBackend) OrderZone(_ context.Context, o cordon.Order) (apiv1.JobOutcome, error) {
	g.zoneOrders = append(g.zoneOrders, o)
	return g.result()
}

func (g *fakeBackend) Read(context.Context, *apiv1.JobsReadRequest) (*apiv1.JobsReadResponse, error) {
	return g.read, g.err
}

const (
	goodQueues = `{"version":1,"pools":[{"name":"p"}],"queues":[{"name":"q","host":"h","pathPrefix":"/q/","pool":"p","timeoutMs":1}]}`
	goodJob    = `{"id":"a","host":"h","path":"/q/a","steps":[{"count":1}]}`
)

func newTestClient(t *testing.T, g *fakeBackend) *jobapi.Client {
	s := httptest.NewServer(jobapi.Handler(g))
	t.Cleanup(s.Close)
	return &jobapi.Client{Addresses: []string{strings.TrimPrefix(s.URL, "http://")}, HTTP: s.Client()}
}

func status(t *testing.T, err error) int {
	t.Helper()
	if err == nil {
		return http.StatusOK
	}
	var statusErr *jobapi.StatusError
	if !errors.As(err, &statusErr) {
		t.Fatal(err)
	}
	return statusErr.Status
}

// TestStatusMatchesOutcome guards against reporting to a caller that its job was refused although
// it runs. The outcome of the submission is unknown; the fault occurs if every error is reported as
// a refusal.
func TestStatusMatchesOutcome(t *testing.T) {
	cases := []struct {
		outcome apiv1.JobOutcome
		err     error
		want    int
	}{
		{apiv1.JobOutcome_JOB_OUTCOME_OK, nil, 200},
		{apiv1.JobOutcome_JOB_OUTCOME_NO_QUEUE, nil, 404},
		{apiv1.JobOutcome_JOB_OUTCOME_NO_JOB, nil, 410},
		{apiv1.JobOutcome_JOB_OUTCOME_INVALID, nil, 400},
		{apiv1.JobOutcome_JOB_OUTCOME_NO_CONFIGURATION, nil, 503},
		{apiv1.JobOutcome_JOB_OUTCOME_FULL, nil, 503},
		{apiv1.JobOutcome_JOB_OUTCOME_HELD, nil, 503},
		{apiv1.JobOutcome_JOB_OUTCOME_OVER_LIMIT, nil, 429},
		{apiv1.JobOutcome_JOB_OUTCOME_NO_ZONE, nil, 404},
		{apiv1.JobOutcome_JOB_OUTCOME_SUPERSEDED, nil, 504},
		{apiv1.JobOutcome_JOB_OUTCOME_REFUSED, &control.RefusedError{Cause: "too late"}, 429},
		{0, &control.UnavailableError{Cause: "no leader"}, 503},
		{0, &control.UnknownError{Cause: "leadership was lost"}, 504},
	}
	for _, c := range cases {
		client := newTestClient(t, &fakeBackend{outcome: c.outcome, err: c.err})
		if got := status(t, client.Submit(t.Context(), []byte(goodJob))); got != c.want {
			t.Errorf("%v, %v: %d, want %d", c.outcome, c.err, got, c.want)
		}
	}
}

// unresponsiveBackend does not know what became of a submission until its caller gives up.
type unresponsiveBackend struct{ fakeBackend }

func (*unresponsiveBackend) Submit(ctx context.Context, _ *apiv1.JobSpec) (apiv1.JobOutcome, error) {
	<-ctx.Done()
	return 0, &control.UnknownError{}
}

// Guards against 503, which says that nothing was done, for a submission that was sent late since its body was slow.
func TestSlowBodyLeavesTimeForTheAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		body, client := io.Pipe()
		go func() {
			time.Sleep(2 * time.Second)
			_, _ = io.WriteString(client, goodJob) // the handler reads all of it
			_ = client.Close()
		}()
		w := httptest.NewRecorder()
		jobapi.Handler(&unresponsiveBackend{}).ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/v1/jobs", body))
		if w.Code != http.StatusGatewayTimeout {
			t.Errorf("answered %d", w.Code)
		}
	})
}

func TestInvalidRequestsAreNotForwarded(t *testing.T) {
	g := &fakeBackend{outcome: apiv1.JobOutcome_JOB_OUTCOME_OK}
	client := newTestClient(t, g)
	for _, bad := range []string{"", "[]", `{"id":"a"}`, strings.Replace(goodJob, `"count"`, `"cuont"`, 1)} {
		if got := status(t, client.Submit(t.Context(), []byte(bad))); got != 400 {
			t.Errorf("job %q: %d", bad, got)
		}
	}
	for _, bad := range []string{"", strings.Replace(goodQueues, `"timeoutMs":1`, `"timeoutMs":0`, 1)} {
		if got := status(t, client.PutQueues(t.Context(), []byte(bad))); got != 400 {
			t.Errorf("queues %q: %d", bad, got)
		}
	}
	if g.calls != 0 {
		t.Errorf("%d invalid requests were forwarded", g.calls)
	}
	if err := client.PutQueues(t.Context(), []byte(goodQueues)); err != nil || g.calls != 1 {
		t.Errorf("good queues: %v", err)
	}
}

func TestRead(t *testing.T) {
	client := newTestClient(t, &fakeBackend{read: &apiv1.JobsReadResponse{
		Outcome: apiv1.JobOutcome_JOB_OUTCOME_OK, State: apiv1.JobState_JOB_STATE_RUNNING, Pending: 3,
	}})
	if s, err := client.Read(t.Context(), "h", "/q/a"); err != nil || s.State != "running" || s.Pending != nil {
		t.Errorf("%+v, %v", s, err)
	}
	if s, err := client.Read(t.Context(), "h", "/q/"); err != nil || s.Pending == nil || *s.Pending != 3 {
		t.Errorf("%+v, %v", s, err)
	}
	lost := newTestClient(t, &fakeBackend{err: errors.New("no leader")})
	if _, err := lost.Read(t.Context(), "h", "/q/a"); status(t, err) != 503 {
		t.Errorf("an unconfirmed read: %v", err)
	}
}

func TestWaves(t *testing.T) {
	g := &fakeBackend{outcome: apiv1.JobOutcome_JOB_OUTCOME_OK, read: &apiv1.JobsReadResponse{
		Outcome: apiv1.JobOutcome_JOB_OUTCOME_OK, Wave: &apiv1.WaveRecord{
			Wave:  &apiv1.MaintenanceWave{Number: 3},
			Hosts: []*apiv1.WaveHostRecord{{Host: "h1", State: apiv1.MaintenanceState_MAINTENANCE_STATE_BEGUN}},
		},
	}}
	client := newTestClient(t, g)
	const good = `{"number":3,"hosts":["h1"],"durationMs":1000,"cap":1}`
	for _, bad := range []string{
		"", `{"number":3}`, strings.Replace(good, `"cap":1`, `"cap":0`, 1), strings.Replace(good, `["h1"]`, `["h1","h1"]`, 1),
	} {
		if got := status(t, client.PutWave(t.Context(), []byte(bad))); got != 400 {
			t.Errorf("wave %q: %d", bad, got)
		}
	}
	if err := client.PutWave(t.Context(), []byte(good)); err != nil || g.calls != 1 {
		t.Errorf("%v after %d calls", err, g.calls)
	}
	w, err := client.Wave(t.Context(), 3)
	if err != nil || w.Hosts[0].State != apiv1.MaintenanceState_MAINTENANCE_STATE_BEGUN {
		t.Errorf("%v, %v", w, err)
	}
	g.read = &apiv1.JobsReadResponse{Outcome: apiv1.JobOutcome_JOB_OUTCOME_NO_WAVE}
	if _, err := client.Wave(t.Context(), 4); status(t, err) != 404 {
		t.Errorf("an unknown wave: %v", err)
	}
}

func TestHosts(t *testing.T) {
	g := &fakeBackend{outcome: apiv1.JobOutcome_JOB_OUTCOME_OK, read: &apiv1.JobsReadResponse{
		Outcome: apiv1.JobOutcome_JOB_OUTCOME_OK, Hosts: []*apiv1.HostRecord{
			{Host: "h/1", Pool: "p", Up: true, Move: &apiv1.HostMove{State: apiv1.MoveState_MOVE_STATE_DONE}},
		},
	}}
	client := newTestClient(t, g)
	hosts, err := client.Hosts(t.Context())
	if err != nil || len(hosts) != 1 || hosts[0].Pool != "p" || hosts[0].Move.State != apiv1.MoveState_MOVE_STATE_DONE {
		t.Errorf("%v, %v", hosts, err)
	}
	if got := status(t, client.MoveHost(t.Context(), "h/1", "")); got != 400 {
		t.Errorf("a move without a pool: %d", got)
	}
	if got := status(t, client.MoveHost(t.Context(), "nosuch", "q")); got != 404 {
		t.Errorf("a move of an unknown host: %d", got)
	}
	if g.calls != 0 {
		t.Errorf("%d invalid requests were forwarded", g.calls)
	}
	if err := client.MoveHost(t.Context(), "h/1", "q"); err != nil || g.calls != 1 {
		t.Errorf("%v after %d calls", err, g.calls)
	}
	for outcome, want := range map[apiv1.JobOutcome]int{
		apiv1.JobOutcome_JOB_OUTCOME_NO_POOL: 404, apiv1.JobOutcome_JOB_OUTCOME_CONFLICT: 409, apiv1.JobOutcome_JOB_OUTCOME_FULL: 503,
	} {
		g.outcome = outcome
		if got := status(t, client.MoveHost(t.Context(), "h/1", "q")); got != want {
			t.Errorf("%v: %d, want %d", outcome, got, want)
		}
	}
	g.read = &apiv1.JobsReadResponse{Outcome: apiv1.JobOutcome_JOB_OUTCOME_NO_HOSTS}
	if got := status(t, client.MoveHost(t.Context(), "h/1", "q")); got != 501 {
		t.Errorf("without support for host operations: %d", got)
	}
}

func TestExplain(t *testing.T) {
	g := &fakeBackend{read: &apiv1.JobsReadResponse{
		Outcome: apiv1.JobOutcome_JOB_OUTCOME_OK, Explanation: &apiv1.JobExplanation{
			Job:   &apiv1.SubmittedJobRecord{State: apiv1.JobState_JOB_STATE_RUNNING},
			Waits: []*apiv1.StepWait{{Step: 1, Tasks: 2, Workers: "memory 3"}},
		},
	}}
	client := newTestClient(t, g)
	e, err := client.Explain(t.Context(), "a")
	if err != nil || e.Job.State != apiv1.JobState_JOB_STATE_RUNNING || e.Waits[0].Workers != "memory 3" {
		t.Errorf("%v, %v", e, err)
	}
	g.read = &apiv1.JobsReadResponse{Outcome: apiv1.JobOutcome_JOB_OUTCOME_NO_JOB}
	if _, err := client.Explain(t.Context(), "b"); status(t, err) != 410 {
		t.Errorf("an unknown job: %v", err)
	}
}

// Guards against an order about another zone than the operator named: names hold any characters.
func TestZoneOrdersReachTheBackend(t *testing.T) {
	g := &fakeBackend{outcome: apiv1.JobOutcome_JOB_OUTCOME_OK}
	client := newTestClient(t, g)
	for _, cordoned := range []bool{true, false} {
		if err := client.OrderZone(t.Context(), "hall 1%?", cordoned, "op & co"); err != nil {
			t.Fatal(err)
		}
	}
	want := []cordon.Order{{Zone: "hall 1%?", Cordoned: true, Operator: "op & co"}, {Zone: "hall 1%?", Operator: "op & co"}}
	if !slices.Equal(g.zoneOrders, want) {
		t.Errorf("orders %v, want %v", g.zoneOrders, want)
	}
}
