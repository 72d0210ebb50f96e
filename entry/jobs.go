package entry

import (
	"context"
	"net/http"

	"go.uber.org/zap"

	"github.com/cairnlift/cairnlift/account"
	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/control"
	"github.com/cairnlift/cairnlift/cordon"
	"github.com/cairnlift/cairnlift/dispatch"
	"github.com/cairnlift/cairnlift/jobapi"
	"github.com/cairnlift/cairnlift/jobclient"
)

// setUpJobs creates the host's part in the handling of submitted jobs: on every entry a client of
// the control group, and with a replica also a dispatcher.
func (e *Entry) setUpJobs(log *zap.Logger) {
	addresses := []string{e.settings.InternalAddress}
	for _, p := range e.settings.Peers {
		addresses = append(addresses, p.Address)
	}
	e.jobs = jobclient.New(addresses, log)
	e.zones = cordon.NewReceiver(cordon.Options{Log: e.jobs, Zones: []string{e.settings.Location.AvailabilityZone}, Logger: log, Metrics: e.registry})
	e.accounts = jobapi.Accounts{
		Rule: e.settings.Accounts.Rule(), AvailabilityZone: e.settings.Location.AvailabilityZone,
		Counters: account.NewCounters("accounts.submissions", e.registry),
	}
	if e.replica == nil {
		return
	}
	e.dispatcher = dispatch.New(dispatch.Options{
		Replica: e.replica, Members: e.controlAddresses, LeaseDuration: e.settings.Control.LeaseDuration.Duration,
		Logger: log, Metrics: e.registry,
	})
}

// notifyDispatcher notifies the dispatcher that the applied state changed.
func (e *Entry) notifyDispatcher() {
	if e.dispatcher != nil {
		e.dispatcher.Applied()
	}
}

// submitJob decides on a submitted job if this host's replica leads.
func (e *Entry) submitJob(ctx context.Context, spec *apiv1.JobSpec, propose control.ProposeFunc) (*apiv1.Result, error) {
	if e.dispatcher == nil {
		return propose(ctx)
	}
	return e.dispatcher.SubmitJob(ctx, spec, propose)
}

// controlAddresses returns the addresses of the control group's members.
func (e *Entry) controlAddresses() []string {
	var addresses []string
	for _, r := range e.node.Status().Membership.GetReplicas() {
		addresses = append(addresses, r.Address)
	}
	return addresses
}

// runJobs starts the background loops for submitted jobs; they end with ctx.
func (e *Entry) runJobs(ctx context.Context) {
	e.loops.Go("control hosts", func() { e.jobs.Run(ctx) })
	e.loops.Go("zones", func() { e.zones.Run(ctx) })
	if e.dispatcher != nil {
		e.loops.Go("dispatch", func() { e.dispatcher.Run(ctx) })
	}
}

// mountJobs registers the services by which entries and agents query this host's replica about
// jobs.
func (e *Entry) mountJobs(mux *http.ServeMux) {
	if e.dispatcher == nil {
		return
	}
	server := apiv1.NewJobsServer(e.dispatcher)
	mux.Handle(server.PathPrefix(), server)
	mux.Handle(control.LookupPath, control.LookupHandler(e.dispatcher.LookupSubmissions))
}

// jobBackend implements jobapi.Backend.
type jobBackend struct {
	*jobclient.Client
	*cordon.Receiver
}

// withJobAPI returns a handler that serves the API of submitted jobs in addition to the
// administration API.
func (e *Entry) withJobAPI(admin http.Handler) http.Handler {
	mux := http.NewServeMux()
	jobs := jobapi.HandlerWithAccounts(jobBackend{e.jobs, e.zones}, e.accounts)
	for _, path := range jobapi.Paths() {
		mux.Handle(path, jobs)
	}
	mux.Handle("/", admin)
	return mux
}
