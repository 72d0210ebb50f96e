package fakes

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/julienschmidt/httprouter"
	"github.com/sourcegraph/conc"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/worker"
)

// Paths that only the stand-in serves, for tests.
const (
	PathRecord   = "/v1/record"
	PathFaults   = "/v1/faults"
	PathFailing  = "/v1/failing"
	PathCapacity = "/v1/capacity"
)

const (
	advanceInterval = 5 * time.Millisecond
	shutdownGrace   = time.Second
)

// WorkerServer serves a Worker over HTTP.
type WorkerServer struct {
	worker *Worker
	record *Recorder[RunEvent]
	faults ReplyFaults
}

// NewWorkerServer returns a server around a new worker.
func NewWorkerServer(cfg WorkerConfig, record *Recorder[RunEvent]) *WorkerServer {
	return &WorkerServer{worker: NewWorker(cfg, record, worker.Now()), record: record}
}

// Worker returns the worker that is served.
func (s *WorkerServer) Worker() *Worker { return s.worker }

// Serve answers on listener and advances the worker until ctx ends.
func (s *WorkerServer) Serve(ctx context.Context, listener net.Listener) error {
	ctx, cancel := context.WithCancel(ctx)
	var wg conc.WaitGroup
	defer wg.Wait()
	defer cancel()
	wg.Go(func() { s.advance(ctx) })
	return serve(ctx, listener, s.Handler(), shutdownGrace)
}

func (s *WorkerServer) advance(ctx context.Context) {
	tick := time.NewTicker(advanceInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			s.worker.Advance(worker.Now())
		}
	}
}

// Handler returns the worker's HTTP interface.
func (s *WorkerServer) Handler() http.Handler {
	r := httprouter.New()
	r.HandlerFunc(http.MethodGet, worker.PathInfo, s.info)
	r.HandlerFunc(http.MethodGet, worker.PathTasks, s.tasks)
	r.HandlerFunc(http.MethodGet, worker.PathUsage, s.usage)
	r.HandlerFunc(http.MethodPost, worker.PathStart, orderHandler(s.start))
	r.HandlerFunc(http.MethodPost, worker.PathRenew, orderHandler(s.renew))
	r.HandlerFunc(http.MethodPost, worker.PathThrottle, orderHandler(s.throttle))
	r.HandlerFunc(http.MethodPost, worker.PathCheckpoint, orderHandler(s.checkpoint))
	r.HandlerFunc(http.MethodPost, worker.PathStop, orderHandler(s.stop))
	r.HandlerFunc(http.MethodPost, worker.PathForget, orderHandler(s.forget))
	r.HandlerFunc(http.MethodGet, PathRecord, s.serveRecord)
	r.HandlerFunc(http.MethodPut, PathFaults, s.faults.handleFault)
	r.HandlerFunc(http.MethodPut, PathFailing, orderHandler(s.setFailing))
	r.HandlerFunc(http.MethodPut, PathCapacity, orderHandler(s.setCapacity))
	return s.faults.Wrap(r)
}

func (s *WorkerServer) info(w http.ResponseWriter, _ *http.Request) {
	info := worker.JSON[*apiv1.WorkerInfo]{Message: s.worker.Info()}
	writeJSON(w, http.StatusOK, worker.InfoReply{Info: info})
}

func (s *WorkerServer) tasks(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, worker.TasksReply{Tasks: worker.Wrap(s.worker.Tasks(worker.Now()))})
}

func (s *WorkerServer) usage(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, worker.UsageReply{Reports: worker.Wrap(s.worker.Usage(worker.Now()))})
}

func (s *WorkerServer) serveRecord(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.record.Values())
}

func (s *WorkerServer) start(r worker.StartRequest) (any, error) {
	return nil, s.worker.Start(r.Task.Message, time.Duration(r.DeadlineNS), worker.Now())
}

func (s *WorkerServer) renew(r worker.RenewRequest) (any, error) {
	s.worker.Renew(worker.Unwrap(r.Tasks), time.Duration(r.DeadlineNS), worker.Now())
	return nil, nil
}

func (s *WorkerServer) throttle(r worker.ThrottleRequest) (any, error) {
	return nil, s.worker.Throttle(r.Task.Message, worker.Now())
}

func (s *WorkerServer) checkpoint(r worker.TaskRequest) (any, error) {
	name, err := s.worker.Checkpoint(r.Task.Message, worker.Now())
	return worker.CheckpointReply{Checkpoint: name}, err
}

func (s *WorkerServer) stop(r worker.TaskRequest) (any, error) {
	return nil, s.worker.Stop(r.Task.Message, worker.Now())
}

func (s *WorkerServer) forget(r worker.ForgetRequest) (any, error) {
	s.worker.Forget(worker.Unwrap(r.Tasks))
	return nil, nil
}

func (s *WorkerServer) setFailing(on bool) (any, error) {
	s.worker.FailEverything(on)
	return nil, nil
}

func (s *WorkerServer) setCapacity(c worker.JSON[*apiv1.Resources]) (any, error) {
	s.worker.SetCapacity(c.Message)
	return nil, nil
}

// orderHandler adapts a typed order to HTTP.
func orderHandler[T any](do func(T) (any, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var in T
		if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&in); err != nil {
			writeRefusal(w, &worker.Error{Code: worker.CodeInvalid, Message: err.Error()})
			return
		}
		out, err := do(in)
		if err != nil {
			writeRefusal(w, err)
			return
		}
		writeJSON(w, http.StatusOK, out)
	}
}

func writeRefusal(w http.ResponseWriter, err error) {
	var e *worker.Error
	if !errors.As(err, &e) {
		panic("fakes: a worker refuses with a worker.Error only")
	}
	writeJSON(w, e.Status(), worker.ErrorReply{Code: e.Code, Message: e.Message})
}
