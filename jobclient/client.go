// Package jobclient connects other processes to the control group: it discovers the control hosts
// from a few seed addresses, remembers the last list it received, and follows the leader.
package jobclient

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/control"
	"github.com/cairnlift/cairnlift/logging/dependency"
	"github.com/cairnlift/cairnlift/logging/event"
	"github.com/cairnlift/cairnlift/redial"
)

const (
	// attemptTimeout bounds one attempt. A control host that is frozen or cut off must not use up a
	// caller's time while an election, which takes about as long, already yields another leader.
	// The timeout is far longer than a commit, which takes about ten milliseconds.
	attemptTimeout = 600 * time.Millisecond
	dialTimeout    = 400 * time.Millisecond
	idleTimeout    = 20 * time.Second
	// ordersWait is how long the leader may wait before it responds to a call for orders.
	ordersWait = time.Second
	// ordersTimeout is ordersWait plus the time for the response. It detects unresponsive
	// connections.
	ordersTimeout  = ordersWait + 500*time.Millisecond
	maxIdlePerHost = 16
)

// ErrUnconfirmed is returned if no leader confirmed a read in time.
var ErrUnconfirmed = errors.New("no leader confirmed the read")

// Client calls the control group. It is safe for concurrent use.
type Client struct {
	seeds     []string
	http      *http.Client
	forwarder *control.Forwarder
	logger    *zap.Logger
	leader    *dependency.Watch
	// intake is nil unless submissions are bounded.
	intake  *intake
	lookups *lookups
	// directory is the internal address of this process if it serves a Directory; otherwise empty.
	directory string
	// announced has a value if an announcement arrived after the last refresh began.
	announced chan struct{}
	// recordRefusedAt and notFoundLoggedAt belong to Run: when the group last refused to record the
	// directory, and when it was last logged that no member was found.
	recordRefusedAt, notFoundLoggedAt time.Time

	mu          sync.Mutex
	jobsClients map[string]apiv1.Jobs
	// peers are the control hosts that are queried, in sorted order.
	peers []string
	// directories are the hosts that are not members and only pass on a list of control hosts.
	directories map[string]bool
	// membersIndex is the log index of the newest list of members.
	membersIndex uint64
	lastContact  time.Time
}

// New returns a client that starts from the seeds, which are internal addresses of control hosts
// (IP and port).
func New(seeds []string, logger *zap.Logger) *Client {
	hc := &http.Client{Transport: redial.New(redial.Options{
		DialTimeout: dialTimeout, IdleTimeout: idleTimeout, MaxIdlePerHost: maxIdlePerHost,
	})}
	f := control.NewForwarder(seeds, hc)
	f.TryTimeout = attemptTimeout
	return &Client{
		seeds: slices.Clone(seeds), http: hc, forwarder: f, logger: event.JobClient.Named(logger),
		lookups:     newLookups(f.LookupSubmissions),
		leader:      dependency.New("leader", logger, nil),
		announced:   make(chan struct{}, 1),
		jobsClients: map[string]apiv1.Jobs{}, peers: slices.Clone(seeds), directories: map[string]bool{},
	}
}

// ContactAge returns the time since a control host last responded.
func (c *Client) ContactAge() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Since(c.lastContact)
}

func (c *Client) jobsClient(address string) apiv1.Jobs {
	c.mu.Lock()
	defer c.mu.Unlock()
	j := c.jobsClients[address]
	if j == nil {
		j = apiv1.NewJobsProtobufClient("http://"+address, c.http)
		c.jobsClients[address] = j
	}
	return j
}

// propose commits a command about jobs. Errors: *control.UnavailableError (the command was not
// proposed and never will be), *control.UnknownError.
func (c *Client) propose(ctx context.Context, cmd *apiv1.JobsCommand) (apiv1.JobOutcome, error) {
	res, err := c.forwarder.Propose(ctx, &apiv1.Command{Body: &apiv1.Command_Jobs{Jobs: cmd}})
	c.recordLeaderResult(ctx, err)
	if err != nil {
		return apiv1.JobOutcome_JOB_OUTCOME_UNSPECIFIED, err
	}
	c.recordContact()
	if res.Job == apiv1.JobOutcome_JOB_OUTCOME_REFUSED {
		cause, full := strings.CutPrefix(res.Message, control.FullMessage)
		return res.Job, &control.RefusedError{
			RetryAfter: time.Duration(res.RetryAfterMs) * time.Millisecond, Cause: cause, Full: full,
		}
	}
	if res.Job == apiv1.JobOutcome_JOB_OUTCOME_UNSPECIFIED {
		return res.Job, &control.UnavailableError{Cause: "the leader refused the command: " + res.Message}
	}
	return res.Job, nil
}

// recordLeaderResult records whether a leader responded. If the caller canceled the call, its
// result is ignored.
func (c *Client) recordLeaderResult(ctx context.Context, err error) {
	if err != nil && errors.Is(ctx.Err(), context.Canceled) {
		return
	}
	c.leader.Record(err)
}

func (c *Client) recordContact() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastContact = time.Now()
}

// Submit submits a job; see propose for errors. A job that is not accepted under the load has the
// outcome JOB_OUTCOME_REFUSED with a *control.RefusedError: it was not run.
func (c *Client) Submit(ctx context.Context, spec *apiv1.JobSpec) (apiv1.JobOutcome, error) {
	send := func() (apiv1.JobOutcome, error) {
		return c.propose(ctx, &apiv1.JobsCommand{Body: &apiv1.JobsCommand_Submit{Submit: &apiv1.SubmitJob{Spec: spec}}})
	}
	if c.intake == nil {
		return send()
	}
	return c.intake.submit(ctx, spec, send)
}

// LookupSubmission returns what the leader knows about the submissions of a job, which is in doubt if no leader
// responds in time. The questions of many callers are sent together.
func (c *Client) LookupSubmission(ctx context.Context, host, path, id string) control.SubmissionState {
	return c.lookups.state(ctx, control.SubmissionKey{Host: host, Path: path, ID: id})
}

// Cancel cancels a job; see propose for errors.
func (c *Client) Cancel(ctx context.Context, host, path, id string) (apiv1.JobOutcome, error) {
	return c.propose(ctx, &apiv1.JobsCommand{Body: &apiv1.JobsCommand_Cancel{
		Cancel: &apiv1.CancelJob{Id: id, Host: host, Path: path},
	}})
}

// PutQueues submits a configuration; see propose for errors.
func (c *Client) PutQueues(ctx context.Context, configuration *apiv1.QueueConfiguration) (apiv1.JobOutcome, error) {
	return c.propose(ctx, &apiv1.JobsCommand{Body: &apiv1.JobsCommand_PutQueues{
		PutQueues: &apiv1.PutQueues{Configuration: configuration},
	}})
}

// PutWave submits a maintenance wave; see propose for errors.
func (c *Client) PutWave(ctx context.Context, w *apiv1.MaintenanceWave) (apiv1.JobOutcome, error) {
	return c.propose(ctx, &apiv1.JobsCommand{Body: &apiv1.JobsCommand_PutWave{PutWave: &apiv1.PutWave{Wave: w}}})
}

// RequestMove requests that a host moves to a pool; see propose for errors.
func (c *Client) RequestMove(ctx context.Context, r *apiv1.RequestMove) (apiv1.JobOutcome, error) {
	return c.propose(ctx, &apiv1.JobsCommand{Body: &apiv1.JobsCommand_RequestMove{RequestMove: r}})
}

// SetCordon cordons or uncordons an availability zone; see propose for errors. The state accepts it once
// at most, however often it is sent: an accepted order changes the revision that it names.
func (c *Client) SetCordon(ctx context.Context, o *apiv1.SetCordon) (apiv1.JobOutcome, error) {
	return c.propose(ctx, &apiv1.JobsCommand{Body: &apiv1.JobsCommand_SetCordon{SetCordon: o}})
}

// SetQueueHold holds or releases a queue; see propose for errors. Like a cordon, it is accepted once at
// most.
func (c *Client) SetQueueHold(ctx context.Context, o *apiv1.SetQueueHold) (apiv1.JobOutcome, error) {
	return c.propose(ctx, &apiv1.JobsCommand{Body: &apiv1.JobsCommand_SetQueueHold{SetQueueHold: o}})
}

// Prioritize puts a job before the others of its priority; see propose for errors.
func (c *Client) Prioritize(ctx context.Context, id, operator string) (apiv1.JobOutcome, error) {
	return c.propose(ctx, &apiv1.JobsCommand{Body: &apiv1.JobsCommand_Prioritize{
		Prioritize: &apiv1.PrioritizeJob{Id: id, Prioritized: true, Operator: operator},
	}})
}

// onlyLeaderAnswers are the reads that need what the leader knows beside the log.
var onlyLeaderAnswers = map[apiv1.JobsReadKind]bool{
	apiv1.JobsReadKind_JOBS_READ_KIND_QUEUE: true, apiv1.JobsReadKind_JOBS_READ_KIND_EXPLANATION: true,
	apiv1.JobsReadKind_JOBS_READ_KIND_HOSTS: true, apiv1.JobsReadKind_JOBS_READ_KIND_ACCOUNTS: true,
	apiv1.JobsReadKind_JOBS_READ_KIND_WORKERS: true,
}

// Read reads state that is confirmed to be the newest. Errors: ErrUnconfirmed.
func (c *Client) Read(ctx context.Context, r *apiv1.JobsReadRequest) (*apiv1.JobsReadResponse, error) {
	var found *apiv1.JobsReadResponse
	c.forwarder.TryHosts(ctx, onlyLeaderAnswers[r.Kind], func(ctx context.Context, address string) (string, bool) {
		resp, err := c.jobsClient(address).Read(ctx, r)
		if err != nil || resp.Unconfirmed {
			return "", false
		}
		found = resp
		return "", true
	})
	if found == nil {
		c.recordLeaderResult(ctx, ErrUnconfirmed)
		return nil, ErrUnconfirmed
	}
	c.recordLeaderResult(ctx, nil)
	c.recordContact()
	return found, nil
}

// ErrNoLeader is returned if no leader responded.
var ErrNoLeader = errors.New("no leader responded")

// leaderResponse is a response that is valid only if it comes from the leader.
type leaderResponse interface {
	GetNotLeader() bool
	GetLeaderAddress() string
}

// callLeader finds the leader by making a call to one control host after another, and returns the
// leader's response. Errors: ErrNoLeader.
func callLeader[T leaderResponse](ctx context.Context, c *Client, operation string, call func(context.Context, apiv1.Jobs) (T, error)) (T, error) {
	var found T
	var responded bool
	cause := ErrNoLeader
	c.forwarder.TryHosts(ctx, true, func(ctx context.Context, address string) (string, bool) {
		resp, err := call(ctx, c.jobsClient(address))
		if err != nil {
			cause = errors.Mark(errors.Wrapf(err, "%s %s", operation, address), ErrNoLeader)
			return "", false
		}
		if resp.GetNotLeader() {
			cause = errors.Mark(errors.Newf("%s is not the leader", address), ErrNoLeader)
			return resp.GetLeaderAddress(), false
		}
		found, responded = resp, true
		return "", true
	})
	if !responded {
		c.recordLeaderResult(ctx, cause)
		return found, cause
	}
	c.recordLeaderResult(ctx, nil)
	return found, nil
}

// Report sends a worker's report to the leader. Errors: ErrNoLeader.
func (c *Client) Report(ctx context.Context, r *apiv1.JobsReportRequest) (*apiv1.JobsReportResponse, error) {
	return callLeader(ctx, c, "report to", func(ctx context.Context, host apiv1.Jobs) (*apiv1.JobsReportResponse, error) {
		return host.Report(ctx, r)
	})
}

// CurrentOrders finds the leader and returns its current orders for a worker, without waiting for
// new ones. Errors: ErrNoLeader.
func (c *Client) CurrentOrders(ctx context.Context, worker string) (*apiv1.JobsOrdersResponse, error) {
	return callLeader(ctx, c, "orders from", func(ctx context.Context, host apiv1.Jobs) (*apiv1.JobsOrdersResponse, error) {
		return host.Orders(ctx, &apiv1.JobsOrdersRequest{Worker: worker})
	})
}

// HostLease finds the leader and returns which worker the leader has recorded on a host, and the
// number of that worker's lease. Errors: ErrNoLeader.
func (c *Client) HostLease(ctx context.Context, host string) (*apiv1.JobsOrdersResponse, error) {
	return callLeader(ctx, c, "host lease from", func(ctx context.Context, control apiv1.Jobs) (*apiv1.JobsOrdersResponse, error) {
		return control.Orders(ctx, &apiv1.JobsOrdersRequest{Host: host})
	})
}

// Orders waits at the last known leader for orders for a worker. Errors: ErrNoLeader, or the error
// of the call.
func (c *Client) Orders(ctx context.Context, r *apiv1.JobsOrdersRequest) (*apiv1.JobsOrdersResponse, error) {
	address := c.forwarder.LeaderAddress()
	if address == "" {
		return nil, ErrNoLeader
	}
	ctx, cancel := context.WithTimeout(ctx, ordersTimeout)
	defer cancel()
	r.WaitMs = ordersWait.Milliseconds()
	resp, err := c.jobsClient(address).Orders(ctx, r)
	if err != nil {
		return nil, errors.Wrap(err, "orders")
	}
	if resp.NotLeader {
		return nil, ErrNoLeader
	}
	return resp, nil
}
