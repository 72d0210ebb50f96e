package entry

import (
	"context"
	"net/http"

	"go.uber.org/zap"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/dispatch"
	"github.com/cairnlift/cairnlift/jobapi"
	"github.com/cairnlift/cairnlift/jobclient"
)

// setUpJobs makes the host's part in jobs that callers submit: their dispatcher
// beside a replica, and on every entry a client of the control group.
func (e *Entry) setUpJobs(log *zap.Logger) {
	addresses := []string{e.settings.InternalAddress}
	for _, p := range e.settings.Peers {
		addresses = append(addresses, p.Address)
	}
	e.jobs = jobclient.New(addresses, log)
	if e.replica == nil {
		return
	}
	e.dispatcher = dispatch.New(dispatch.Options{
		Replica: e.replica, Members: e.controlAddresses, LeaseDuration: e.settings.Control.LeaseDuration.Duration,
		Logger: log, Metrics: e.registry,
	})
}

// notifyDispatcher tells the dispatcher that the applied state changed.
func (e *Entry) notifyDispatcher() {
	if e.dispatcher != nil {
		e.dispatcher.Applied()
	}
}

func (e *Entry) controlAddresses() []string {
	var addresses []string
	for _, r := range e.node.Status().Membership.GetReplicas() {
		addresses = append(addresses, r.Address)
	}
	return addresses
}

// runJobs starts the loops of submitted jobs; they end with ctx.
func (e *Entry) runJobs(ctx context.Context) {
	e.loops.Go("control hosts", func() { e.jobs.Run(ctx) })
	if e.dispatcher != nil {
		e.loops.Go("dispatch", func() { e.dispatcher.Run(ctx) })
	}
}

// mountJobs serves entries and agents that ask this host's replica about jobs.
func (e *Entry) mountJobs(mux *http.ServeMux) {
	if e.dispatcher == nil {
		return
	}
	server := apiv1.NewJobsServer(e.dispatcher)
	mux.Handle(server.PathPrefix(), server)
}

// withJobAPI serves the interface of submitted jobs beside the administration API.
func (e *Entry) withJobAPI(admin http.Handler) http.Handler {
	mux := http.NewServeMux()
	jobs := jobapi.Handler(e.jobs)
	for _, path := range jobapi.Paths() {
		mux.Handle(path, jobs)
	}
	mux.Handle("/", admin)
	return mux
}
