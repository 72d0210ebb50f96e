// Package jobclient reaches the control group from any other process: it finds
// the control hosts from a few seed addresses, keeps the list it last heard, and
// follows the leader.
package jobclient

import (
	"context"
	"net/http"
	"slices"
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
	// attemptTimeout bounds one try: a control host that is frozen or cut off must not
	// use up a caller's time while an election, which takes about as long, already
	// brings another leader. It is far above a commit, which takes some ten
	// milliseconds.
	attemptTimeout = 600 * time.Millisecond
	// refreshInterval is the time between questions for the list of control hosts.
	refreshInterval = 2 * time.Second
	dialTimeout     = 400 * time.Millisecond
	idleTimeout     = 20 * time.Second
	// ordersWait is how long the leader may hold a call for orders.
	ordersWait = time.Second
	// ordersTimeout is ordersWait and the time for an answer: a connection that went
	// silent is noticed by it.
	ordersTimeout  = ordersWait + 500*time.Millisecond
	maxIdlePerHost = 16
)

// ErrUnconfirmed says that no leader confirmed a read within its time.
var ErrUnconfirmed = errors.New("no leader confirmed the read")

// Client reaches the control group. Its methods may be called by many goroutines.
type Client struct {
	seeds     []string
	http      *http.Client
	forwarder *control.Forwarder
	logger    *zap.Logger
	leader    *dependency.Watch

	mu          sync.Mutex
	jobsClients map[string]apiv1.Jobs
	// peers are the control hosts that are asked, in order.
	peers []string
	// directories are the hosts that only pass on what they heard of the group.
	directories map[string]bool
	lastContact time.Time
}

// New returns a client that starts from the seeds, internal addresses of control
// hosts (IP and port).
func New(seeds []string, logger *zap.Logger) *Client {
	hc := &http.Client{Transport: redial.New(redial.Options{
		DialTimeout: dialTimeout, IdleTimeout: idleTimeout, MaxIdlePerHost: maxIdlePerHost,
	})}
	f := control.NewForwarder(seeds, hc)
	f.TryTimeout = attemptTimeout
	return &Client{
		seeds: slices.Clone(seeds), http: hc, forwarder: f, logger: event.JobClient.Named(logger),
		leader:      dependency.New("leader", logger, nil),
		jobsClients: map[string]apiv1.Jobs{}, peers: slices.Clone(seeds), directories: map[string]bool{},
	}
}

// Run keeps the list of control hosts until ctx ends.
func (c *Client) Run(ctx context.Context) {
	for ctx.Err() == nil {
		c.refresh(ctx)
		t := time.NewTimer(refreshInterval)
		select {
		case <-ctx.Done():
		case <-t.C:
		}
		t.Stop()
	}
}

// refresh asks one control host after another, until a member of the group tells
// who belongs to it. What a directory tells leads on to members but is neither a
// contact with the group nor a reason to forget members: it may be old.
func (c *Client) refresh(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, refreshInterval)
	defer cancel()
	heard := false
	c.forwarder.Ask(ctx, false, func(ctx context.Context, address string) (string, bool) {
		resp, err := c.jobsClient(address).Members(ctx, &apiv1.JobsMembersRequest{})
		if err != nil || len(resp.Addresses) == 0 {
			return "", false
		}
		// A member of the group names itself too.
		heard = slices.Contains(resp.Addresses, address)
		if heard {
			c.setMembers(resp.Addresses)
		} else {
			c.addFromDirectory(address, resp.Addresses)
		}
		return "", heard
	})
	if !heard {
		c.restoreSeeds()
	}
}

// setMembers takes a list of members over. The seeds stay on it: should all members
// that this process knows be replaced while it is cut off, they lead back. Those
// that are directories are left out until then: a request that they can't serve
// would wait for its next try.
func (c *Client) setMembers(members []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastContact = time.Now()
	seeds := slices.DeleteFunc(slices.Clone(c.seeds), func(a string) bool { return c.directories[a] })
	c.setPeers(slices.Concat(members, seeds))
}

// addFromDirectory adds the hosts that a directory told of to those that are asked.
func (c *Client) addFromDirectory(directory string, told []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.directories[directory] = true
	c.setPeers(slices.Concat(c.peers, told))
}

// restoreSeeds asks the seeds again, directories too, beside all others.
func (c *Client) restoreSeeds() {
	c.mu.Lock()
	defer c.mu.Unlock()
	clear(c.directories)
	c.setPeers(slices.Concat(c.peers, c.seeds))
}

// setPeers replaces the hosts that are asked. The caller holds mu.
func (c *Client) setPeers(peers []string) {
	slices.Sort(peers)
	peers = slices.Compact(peers)
	if slices.Equal(peers, c.peers) {
		return
	}
	c.peers = peers
	c.forwarder.SetPeers(peers)
	event.ControlHostsNews.Write(c.logger, event.Addresses(peers))
}

// Addresses returns the internal addresses of the control hosts known here, with
// the seeds as long as the group was not found.
func (c *Client) Addresses() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.peers)
}

// ContactAge is the time since a control host last answered.
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

// propose commits a command about jobs. Errors: *control.UnavailableError (it was
// not proposed and never will be), *control.UnknownError.
func (c *Client) propose(ctx context.Context, cmd *apiv1.JobsCommand) (apiv1.JobOutcome, error) {
	res, err := c.forwarder.Propose(ctx, &apiv1.Command{Body: &apiv1.Command_Jobs{Jobs: cmd}})
	c.recordLeaderResult(ctx, err)
	if err != nil {
		return apiv1.JobOutcome_JOB_OUTCOME_UNSPECIFIED, err
	}
	c.recordContact()
	return res.Job, nil
}

// recordLeaderResult takes in whether a leader answered. A caller that went away tells nothing.
func (c *Client) recordLeaderResult(ctx context.Context, err error) {
	if err != nil && errors.Is(ctx.Err(), context.Canceled) {
		return
	}
	c.leader.Note(err)
}

func (c *Client) recordContact() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastContact = time.Now()
}

// Submit hands a job in; see propose for errors.
func (c *Client) Submit(ctx context.Context, spec *apiv1.JobSpec) (apiv1.JobOutcome, error) {
	return c.propose(ctx, &apiv1.JobsCommand{Body: &apiv1.JobsCommand_Submit{Submit: &apiv1.SubmitJob{Spec: spec}}})
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

// RequestMove asks that a host moves to a pool; see propose for errors.
func (c *Client) RequestMove(ctx context.Context, r *apiv1.RequestMove) (apiv1.JobOutcome, error) {
	return c.propose(ctx, &apiv1.JobsCommand{Body: &apiv1.JobsCommand_RequestMove{RequestMove: r}})
}

// Read reads from state that is confirmed to be the newest. Errors: ErrUnconfirmed.
func (c *Client) Read(ctx context.Context, r *apiv1.JobsReadRequest) (*apiv1.JobsReadResponse, error) {
	var found *apiv1.JobsReadResponse
	c.forwarder.Ask(ctx, false, func(ctx context.Context, address string) (string, bool) {
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

// ErrNoLeader says that no leader answered.
var ErrNoLeader = errors.New("no leader answered")

// leaderResponse is an answer that only the leader gives in earnest.
type leaderResponse interface {
	GetNotLeader() bool
	GetLeaderAddress() string
}

// callLeader looks for the leader with a call that any control host answers, and returns the
// leader's answer. Errors: ErrNoLeader.
func callLeader[T leaderResponse](ctx context.Context, c *Client, what string, call func(context.Context, apiv1.Jobs) (T, error)) (T, error) {
	var found T
	var answered bool
	cause := ErrNoLeader
	c.forwarder.Ask(ctx, true, func(ctx context.Context, address string) (string, bool) {
		resp, err := call(ctx, c.jobsClient(address))
		if err != nil {
			cause = errors.Mark(errors.Wrapf(err, "%s %s", what, address), ErrNoLeader)
			return "", false
		}
		if resp.GetNotLeader() {
			cause = errors.Mark(errors.Newf("%s does not lead", address), ErrNoLeader)
			return resp.GetLeaderAddress(), false
		}
		found, answered = resp, true
		return "", true
	})
	if !answered {
		c.recordLeaderResult(ctx, cause)
		return found, cause
	}
	c.recordLeaderResult(ctx, nil)
	return found, nil
}

// Report carries a worker's report to the leader. Errors: ErrNoLeader.
func (c *Client) Report(ctx context.Context, r *apiv1.JobsReportRequest) (*apiv1.JobsReportResponse, error) {
	return callLeader(ctx, c, "report to", func(ctx context.Context, host apiv1.Jobs) (*apiv1.JobsReportResponse, error) {
		return host.Report(ctx, r)
	})
}

// CurrentOrders looks for the leader and returns its orders for a worker, without waiting
// for any. Errors: ErrNoLeader.
func (c *Client) CurrentOrders(ctx context.Context, worker string) (*apiv1.JobsOrdersResponse, error) {
	return callLeader(ctx, c, "orders of", func(ctx context.Context, host apiv1.Jobs) (*apiv1.JobsOrdersResponse, error) {
		return host.Orders(ctx, &apiv1.JobsOrdersRequest{Worker: worker})
	})
}

// HostLease looks for the leader and returns which worker it holds on a host, and the number
// of that worker's lease. Errors: ErrNoLeader.
func (c *Client) HostLease(ctx context.Context, host string) (*apiv1.JobsOrdersResponse, error) {
	return callLeader(ctx, c, "lease of", func(ctx context.Context, control apiv1.Jobs) (*apiv1.JobsOrdersResponse, error) {
		return control.Orders(ctx, &apiv1.JobsOrdersRequest{Host: host})
	})
}

// Orders waits for orders to a worker, at the leader as last known. Errors:
// ErrNoLeader, or that of the call.
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
