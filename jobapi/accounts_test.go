package jobapi_test

import (
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"

	"github.com/rcrowley/go-metrics"
	"google.golang.org/protobuf/encoding/protojson"

	"github.com/cairnlift/cairnlift/account"
	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/cordon"
	"github.com/cairnlift/cairnlift/jobapi"
	"github.com/cairnlift/cairnlift/jobqueue"
)

// submit sends a job with the given values of the header X-Account.
func submit(h http.Handler, job string, accounts ...string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(http.MethodPost, "/v1/jobs", strings.NewReader(job))
	r.RemoteAddr = "192.0.2.7:41234"
	r.Header["X-Account"] = accounts
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	return w
}

// Guards against a submission without its account, and against one of an invalid account that reaches the
// log or is refused without the reason.
func TestSubmissionsGetTheirAccount(t *testing.T) {
	for _, c := range []struct {
		rule     account.Rule
		accounts []string
		want     string
		reason   string
	}{
		{account.Rule{}, []string{"team"}, "", ""},
		{account.Rule{Header: "X-Account"}, []string{"team"}, "team", ""},
		{account.Rule{Header: "X-Account"}, nil, "", ""},
		{account.Rule{Header: "x-account", Fallback: account.Address}, nil, "192.0.2.7", ""},
		{account.Rule{Fallback: account.AvailabilityZone}, []string{"team"}, "north", ""},
		{account.Rule{Fallback: account.Queue}, nil, "h-q-", ""},
		{account.Rule{Header: "X-Account"}, []string{"a b"}, "", "header X-Account: the name of a client account must not contain ' '"},
		{account.Rule{Header: "X-Account"}, []string{"a", "b"}, "", "must not contain ','"},
		{account.Rule{Header: "X-Account"}, []string{strings.Repeat("a", 65)}, "", "at most 64 characters"},
	} {
		g := &fakeBackend{outcome: apiv1.JobOutcome_JOB_OUTCOME_OK}
		registry := metrics.NewRegistry()
		h := jobapi.HandlerWithAccounts(g, jobapi.Accounts{
			Rule: c.rule, AvailabilityZone: "north", Counters: account.NewCounters("accounts.submissions", registry),
		})
		w := submit(h, goodJob, c.accounts...)
		if c.reason != "" {
			if w.Code != http.StatusBadRequest || !strings.Contains(w.Body.String(), c.reason) || g.calls != 0 {
				t.Errorf("%+v: %d %s after %d calls", c, w.Code, w.Body, g.calls)
			}
			continue
		}
		if w.Code != http.StatusOK || len(g.submitted) != 1 || g.submitted[0].Account != c.want {
			t.Errorf("%+v: %d, submitted %v", c, w.Code, g.submitted)
		}
		counted := registry.Get("accounts.submissions."+c.want+".accepted") != nil
		if counted != (c.want != "") {
			t.Errorf("%+v: counted is %v", c, counted)
		}
	}
}

// Guards against a caller that names the account of another one in the job, which would bypass the rule.
func TestJobMustNotNameItsAccount(t *testing.T) {
	g := &fakeBackend{outcome: apiv1.JobOutcome_JOB_OUTCOME_OK}
	w := submit(jobapi.Handler(g), strings.Replace(goodJob, `"id"`, `"account":"team","id"`, 1))
	if w.Code != http.StatusBadRequest || !strings.Contains(w.Body.String(), "account:") || g.calls != 0 {
		t.Errorf("%d %s after %d calls", w.Code, w.Body, g.calls)
	}
}

// Guards against callers who are refused and not told when to return.
func TestRefusalsTellWhenToReturn(t *testing.T) {
	for outcome, want := range map[apiv1.JobOutcome]int{
		apiv1.JobOutcome_JOB_OUTCOME_OVER_LIMIT: http.StatusTooManyRequests, apiv1.JobOutcome_JOB_OUTCOME_HELD: http.StatusServiceUnavailable,
	} {
		w := submit(jobapi.Handler(&fakeBackend{outcome: outcome}), goodJob)
		if w.Code != want || w.Header().Get("Retry-After") == "" || !strings.Contains(w.Body.String(), "not accepted") {
			t.Errorf("%v: %d, %v, %s", outcome, w.Code, w.Header(), w.Body)
		}
	}
}

// Guards against an order about another queue or job than the operator named: names of queues hold any
// characters.
func TestQueueOrdersReachTheBackend(t *testing.T) {
	g := &fakeBackend{outcome: apiv1.JobOutcome_JOB_OUTCOME_OK}
	client := newTestClient(t, g)
	for _, held := range []bool{true, false} {
		if err := client.OrderQueue(t.Context(), "team/hold 1%?", held, "op & co"); err != nil {
			t.Fatal(err)
		}
	}
	want := []cordon.QueueOrder{{Queue: "team/hold 1%?", Held: true, Operator: "op & co"}, {Queue: "team/hold 1%?", Operator: "op & co"}}
	if !slices.Equal(g.queueOrders, want) {
		t.Errorf("orders %v, want %v", g.queueOrders, want)
	}
	if err := client.Prioritize(t.Context(), "j1", "op"); err != nil || !slices.Equal(g.prioritized, []string{"j1"}) {
		t.Errorf("prioritized %v, %v", g.prioritized, err)
	}
}

// Guards against lists of holds and accounts that are cut off or mixed up.
func TestHoldsAndAccountsAreListed(t *testing.T) {
	client := newTestClient(t, &fakeBackend{read: &apiv1.JobsReadResponse{
		Outcome: apiv1.JobOutcome_JOB_OUTCOME_OK, Queues: []*apiv1.QueueHold{{Queue: "q", Held: true}}, Accounts: []*apiv1.AccountRecord{{Name: "a", Weight: 2}},
	}})
	holds, err := client.Holds(t.Context())
	if err != nil || len(holds) != 1 || !holds[0].Held {
		t.Errorf("%v, %v", holds, err)
	}
	accounts, err := client.Accounts(t.Context())
	if err != nil || len(accounts) != 1 || accounts[0].Weight != 2 {
		t.Errorf("%v, %v", accounts, err)
	}
}

// Guards against a configuration of accounts and limits that is accepted and then refused by the log, and
// against one that can't be decoded again from the document that reads return.
func FuzzAccountConfiguration(f *testing.F) {
	for _, s := range []string{
		`{"version":1,"accounts":[{"name":"a","weight":2,"limits":{"cpuMilli":"5","tasks":1,"pendingJobs":3}}]}`,
		`{"version":1,"accounts":[{"name":"a","weight":"NaN"}]}`, `{"version":1,"accounts":[{},{"name":"other"}]}`,
		`{"version":1,"accounts":[{"name":"a","limits":{"cpuMilli":-1}}]}`, `{"version":1,"accounts":null}`,
	} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		c := &apiv1.QueueConfiguration{}
		if protojson.Unmarshal(body, c) != nil || jobqueue.Validate(c) != nil {
			return
		}
		m := jobqueue.New()
		outcome := m.Apply(&apiv1.JobsCommand{Body: &apiv1.JobsCommand_PutQueues{PutQueues: &apiv1.PutQueues{Configuration: c}}}, 1, 1)
		if outcome != apiv1.JobOutcome_JOB_OUTCOME_OK {
			t.Fatalf("%s: %v", body, outcome)
		}
		for _, a := range c.Accounts {
			if w := m.AccountWeight(a.Name); !(w > 0) || account.ValidateName(a.Name) != nil {
				t.Errorf("account %v has weight %v", a, w)
			}
		}
		document, err := protojson.Marshal(c)
		if err != nil || protojson.Unmarshal(document, &apiv1.QueueConfiguration{}) != nil {
			t.Errorf("%s: %v", document, err)
		}
	})
}
