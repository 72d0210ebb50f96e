package dispatch

import (
	"context"

	"github.com/twitchtv/twirp"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/jobqueue"
	"github.com/cairnlift/cairnlift/state"
)

// Read implements apiv1.Jobs. Any replica answers, from state that contains everything that was
// committed before the call.
func (d *Dispatcher) Read(ctx context.Context, r *apiv1.JobsReadRequest) (*apiv1.JobsReadResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	if err := d.opts.Replica.Barrier(ctx); err != nil {
		return &apiv1.JobsReadResponse{Unconfirmed: true}, nil
	}
	if r.Kind == apiv1.JobsReadKind_JOBS_READ_KIND_EXPLANATION {
		return d.explain(r.Id), nil
	}
	if r.Kind == apiv1.JobsReadKind_JOBS_READ_KIND_HOSTS {
		return d.readHosts(ctx), nil
	}
	if r.Kind == apiv1.JobsReadKind_JOBS_READ_KIND_QUEUE {
		return d.readQueue(r), nil
	}
	if r.Kind == apiv1.JobsReadKind_JOBS_READ_KIND_ACCOUNTS {
		return d.readAccounts(), nil
	}
	if r.Kind == apiv1.JobsReadKind_JOBS_READ_KIND_WORKERS {
		return d.readWorkers(), nil
	}
	resp := &apiv1.JobsReadResponse{}
	d.opts.Replica.ReadState(func(m *state.Machine) {
		if r.Kind == apiv1.JobsReadKind_JOBS_READ_KIND_ZONES {
			readZones(m, resp)
			return
		}
		read(m.CallerJobs(), r, resp)
	})
	return resp, nil
}

// readQueue returns the number of pending jobs of a queue. Only the leader answers: the log does not
// contain which runs have begun.
func (d *Dispatcher) readQueue(r *apiv1.JobsReadRequest) *apiv1.JobsReadResponse {
	d.mu.Lock()
	defer d.mu.Unlock()
	l := d.readyLeader()
	if l == nil {
		return &apiv1.JobsReadResponse{Unconfirmed: true}
	}
	resp := &apiv1.JobsReadResponse{}
	d.opts.Replica.ReadState(func(m *state.Machine) {
		var pending int
		pending, resp.Outcome = m.CallerJobs().Pending(r.Host, r.Path, l.hasBegun)
		resp.Pending = uint32(pending)
		resp.ConfigurationVersion = m.CallerJobs().Configuration().Version
	})
	return resp
}

// hasBegun reports whether a run is known to have begun, beside what the log tells. An ordered start of a
// worker that has not reported to this leader counts as not begun: a job that waits must not be missing, and
// the log has the jobs that began more than a moment before the leader changed.
func (l *leaderState) hasBegun(r *jobqueue.Run) bool {
	_, observed := l.observed[r.ID]
	return observed
}

// explain returns a job with the reasons why its tasks wait, as the leader knows them.
func (d *Dispatcher) explain(id string) *apiv1.JobsReadResponse {
	d.mu.Lock()
	defer d.mu.Unlock()
	l := d.readyLeader()
	if l == nil {
		return &apiv1.JobsReadResponse{Unconfirmed: true}
	}
	resp := &apiv1.JobsReadResponse{Outcome: apiv1.JobOutcome_JOB_OUTCOME_NO_JOB}
	d.opts.Replica.ReadState(func(m *state.Machine) {
		if j := m.CallerJobs().Job(id); j != nil {
			resp.Outcome = apiv1.JobOutcome_JOB_OUTCOME_OK
			resp.Explanation = &apiv1.JobExplanation{Job: j.Record()}
		}
	})
	if resp.Explanation == nil {
		return resp
	}
	for _, w := range l.waits {
		if w.Step.Job == id {
			resp.Explanation.Waits = append(resp.Explanation.Waits, &apiv1.StepWait{
				Occurrence: w.Step.Occurrence, Step: w.Step.Step, Tasks: uint32(w.Tasks), Workers: w.ReasonSummary(),
			})
		}
	}
	return resp
}

func read(m *jobqueue.Machine, r *apiv1.JobsReadRequest, resp *apiv1.JobsReadResponse) {
	resp.ConfigurationVersion = m.Configuration().Version
	resp.Outcome = apiv1.JobOutcome_JOB_OUTCOME_OK
	switch r.Kind {
	case apiv1.JobsReadKind_JOBS_READ_KIND_JOB:
		var j *jobqueue.Job
		if j, resp.Outcome = m.Lookup(r.Host, r.Path, r.Id); j != nil {
			resp.State = j.State
		}
	case apiv1.JobsReadKind_JOBS_READ_KIND_CONFIGURATION:
		resp.Document = m.Configuration().Document
		if resp.ConfigurationVersion == 0 {
			resp.Outcome = apiv1.JobOutcome_JOB_OUTCOME_NO_CONFIGURATION
		}
	case apiv1.JobsReadKind_JOBS_READ_KIND_QUEUES:
		resp.Queues = m.Holds()
	case apiv1.JobsReadKind_JOBS_READ_KIND_WAVE:
		w := m.Wave(r.Wave)
		if w == nil {
			resp.Outcome = apiv1.JobOutcome_JOB_OUTCOME_NO_WAVE
			return
		}
		resp.Wave = w.Record()
	default:
		resp.Outcome = apiv1.JobOutcome_JOB_OUTCOME_INVALID
	}
}

// Members implements apiv1.Jobs.
func (d *Dispatcher) Members(_ context.Context, r *apiv1.JobsMembersRequest) (*apiv1.JobsMembersResponse, error) {
	resp := &apiv1.JobsMembersResponse{Addresses: d.opts.Members(), LeaderAddress: d.opts.Replica.LeaderAddress()}
	d.opts.Replica.ReadState(func(m *state.Machine) {
		resp.Index = m.Index()
		resp.DirectoryRecorded = r.Directory != "" && m.HasDirectory(r.Directory)
	})
	if r.Directory != "" {
		d.opts.OnDirectory(r.Directory)
	}
	return resp, nil
}

// Announce implements apiv1.Jobs.
func (d *Dispatcher) Announce(_ context.Context, r *apiv1.JobsAnnounceRequest) (*apiv1.JobsAnnounceResponse, error) {
	if err := d.opts.OnAnnounced(r); err != nil {
		return nil, twirp.InvalidArgumentError("addresses", err.Error())
	}
	return &apiv1.JobsAnnounceResponse{}, nil
}
