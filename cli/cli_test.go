package cli

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rogpeppe/go-internal/testscript"

	"github.com/cairnlift/cairnlift/admin"
	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/control"
	"github.com/cairnlift/cairnlift/state"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"cairnlift": func() { os.Exit(New().Run(context.Background(), os.Args[1:])) },
	})
}

// TestScripts runs the command against an API over a real state machine. ENTRY
// works, LOSES commits and then loses each answer, NOQUORUM has no leader and
// CLOSED refuses connections.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:   "testdata",
		Cmds:  map[string]func(ts *testscript.TestScript, neg bool, args []string){"exits": expectExitCode},
		Setup: startEntries,
	})
}

func startEntries(env *testscript.Env) error {
	api := admin.Handler(&fakeBackend{machine: state.New()}, metrics.NewRegistry())
	loses := func(_ http.ResponseWriter, r *http.Request) {
		api.ServeHTTP(httptest.NewRecorder(), r)
		panic(http.ErrAbortHandler)
	}
	for name, h := range map[string]http.Handler{
		"ENTRY":    api,
		"LOSES":    http.HandlerFunc(loses),
		"NOQUORUM": admin.Handler(&fakeBackend{machine: state.New(), noQuorum: true}, metrics.NewRegistry()),
	} {
		s := httptest.NewServer(h)
		env.Defer(s.Close)
		env.Setenv(name, strings.TrimPrefix(s.URL, "http://"))
	}
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	env.Setenv("CLOSED", closed.Addr().String())
	return closed.Close()
}

// expectExitCode runs a command and checks its exit code.
func expectExitCode(ts *testscript.TestScript, _ bool, args []string) {
	code := 0
	var exit *exec.ExitError
	if err := ts.Exec(args[1], args[2:]...); errors.As(err, &exit) {
		code = exit.ExitCode()
	} else {
		ts.Check(err)
	}
	if strconv.Itoa(code) != args[0] {
		ts.Fatalf("exit code %d, want %s", code, args[0])
	}
}

type fakeBackend struct {
	admin.Backend
	mu       sync.Mutex
	machine  *state.Machine
	index    uint64
	drained  bool
	noQuorum bool
}

func (b *fakeBackend) Propose(_ context.Context, cmd *apiv1.Command) (*apiv1.Result, error) {
	if b.noQuorum {
		return nil, &control.UnavailableError{RetryAfter: time.Hour, Cause: "no leader"}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.index++
	return b.machine.Apply(b.index, cmd), nil
}

func (b *fakeBackend) Configuration() *apiv1.Configuration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.machine.Configuration()
}

func (b *fakeBackend) Changed() <-chan struct{} { return nil }

// Status has a process that is behind in its first answer only, and one that is
// long lost.
func (b *fakeBackend) Status(context.Context, []string) (*admin.Status, error) {
	version := b.Configuration().GetVersion()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.index++
	return &admin.Status{
		Entry: "entry-a", ConfigurationVersion: version, Leader: "entry-b", Term: 3,
		Processes: []admin.Process{
			{Name: "entry-a", Role: "follower", ConfigurationVersion: version, Ready: true},
			{Name: "runner-01", Role: "agent", ConfigurationVersion: version - b.index%2, Ready: true},
			{Name: "runner-02", Role: "agent", ConfigurationVersion: 0, LastHeardMs: time.Minute.Milliseconds()},
		},
		Workers: []admin.Worker{{Name: "runner-01", Capacity: admin.Resources{MilliProcessors: 32_000, MemoryBytes: 125e9}, Alive: true, Draining: b.drained}},
		Jobs:    []admin.Job{{Name: "renewal", Priority: "batch", Queued: 1}},
	}, nil
}

func (b *fakeBackend) Explain(_ context.Context, job string) (*admin.Explanation, error) {
	if job != "renewal" {
		return nil, admin.Errorf(admin.CodeNotFound, "there is no job %q", job)
	}
	return &admin.Explanation{
		Job:     admin.Job{Name: job, Queued: 1},
		Reasons: []string{"no worker could hold a task, even when empty"},
		Tasks: []admin.TaskExplanation{{
			Task: "renewal/0", State: "queued", Refused: map[string]int{"room": 11},
			Rejections: []admin.Rejection{{Worker: "runner-01", Filter: "room", Reason: "needs 64 processors, 32 are there"}},
		}},
	}, nil
}

func (b *fakeBackend) Drain(_ context.Context, r admin.DrainRequest) (*admin.DrainResponse, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.drained = !r.Undo
	return &admin.DrainResponse{Kind: admin.KindWorker, Draining: b.drained, InFlight: 2}, nil
}

func (b *fakeBackend) Members(context.Context) (*admin.MemberList, error) {
	return &admin.MemberList{Members: []admin.Member{{Name: "entry-a", Role: "leader", Address: "10.0.0.1:7400", ID: 0xab}}, Term: 3}, nil
}

func (b *fakeBackend) AddMember(context.Context, admin.Member) error { return nil }
func (b *fakeBackend) RemoveMember(context.Context, string) error    { return nil }
func (b *fakeBackend) Decisions(context.Context, admin.DecisionQuery) (*admin.DecisionList, error) {
	return &admin.DecisionList{Decisions: []admin.Decision{{Part: "route", Subject: "r-1", Attempt: 1, Chosen: "t-1", Candidates: 2, Reason: "lower load"}}}, nil
}
