package agent

import (
	"context"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc/pool"
	"go.uber.org/zap"

	"github.com/cairnlift/cairnlift/agent/lease"
	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/failstop"
	"github.com/cairnlift/cairnlift/worker"
)

const (
	workerCallTimeout = time.Second
	// checkpointTimeout leaves time for the following stop: an attempt that is being stopped
	// is not renewed.
	checkpointTimeout = 3 * time.Second
	maxParallelStarts = 8
	// pollsPerHeartbeat is the number of times per heartbeat interval that the worker is
	// queried for ended tasks.
	pollsPerHeartbeat = 4
	minPollSpacing    = 20 * time.Millisecond
	bootIDPath        = "/proc/sys/kernel/random/boot_id"
)

// workerDriver executes the decisions of a lease.Manager at the platform's worker.
type workerDriver struct {
	agent  *Agent
	worker worker.Worker
	log    *zap.Logger

	mu      sync.Mutex // Guards manager, usage and observed.
	manager *lease.Manager
	usage   []*apiv1.UsageReport
	// observedAt is the time of the last query that the worker answered.
	observedAt time.Duration

	ordersMu sync.Mutex // Held while orders are executed.
	group    *failstop.Group
}

func newWorkerDriver(a *Agent, w worker.Worker, log *zap.Logger) *workerDriver {
	return &workerDriver{agent: a, worker: w, log: log.Named("lease"), manager: lease.New(a.bootNow())}
}

// pollLoop queries the worker several times per heartbeat interval, so that a heartbeat never
// waits for a hanging worker, and requests a heartbeat when a task has ended.
func (d *workerDriver) pollLoop(ctx context.Context) {
	spacing := max(d.agent.settings.HeartbeatInterval.Duration/pollsPerHeartbeat, minPollSpacing)
	for {
		d.observe(ctx)
		if !sleep(ctx, spacing) {
			return
		}
	}
}

// observe queries the worker for its capacity and tasks. It logs a failure and then keeps the
// last observation, which becomes stale.
func (d *workerDriver) observe(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, workerCallTimeout)
	defer cancel()
	queriedAt := d.agent.bootNow()
	o, err := d.readObservation(ctx)
	if err != nil {
		d.log.Warn("worker does not answer", zap.Error(err))
		return
	}
	usage, err := d.worker.Usage(ctx)
	if err != nil {
		d.log.Warn("worker reports no usage", zap.Error(err))
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.usage, d.observedAt = usage, queriedAt
	if d.manager.Observe(queriedAt, o) {
		d.agent.requestHeartbeat()
	}
}

func (d *workerDriver) readObservation(ctx context.Context) (o lease.Observation, err error) {
	if o.Info, err = d.worker.Info(ctx); err != nil {
		return o, errors.Wrap(err, "worker's info")
	}
	if o.Instance, err = bootID(); err != nil {
		return o, errors.Wrap(err, "boot id")
	}
	if o.Tasks, err = d.worker.Tasks(ctx); err != nil {
		return o, errors.Wrap(err, "worker's tasks")
	}
	o.Reserved = d.agent.reserved()
	o.WallClock = uint64(d.agent.now().UnixNano())
	return o, nil
}

// bootID returns the ID of the worker's instance for a worker that reports no incarnation. It
// changes when the host restarts. If such a worker loses tasks in another way, they are
// detected as missing after their leases have expired.
func bootID() (string, error) {
	b, err := os.ReadFile(bootIDPath)
	return string(b), err
}

func (a *Agent) reserved() (sum lease.Amount) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, size := range a.gate.Reserved() {
		sum = sum.Add(size)
	}
	return sum
}

// heartbeat returns the worker's part of a heartbeat that is about to be sent. It returns nil
// if the worker has not answered recently: no lease is renewed then, because it is unknown
// which tasks run.
func (d *workerDriver) heartbeat() *apiv1.WorkerHeartbeat {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.agent.bootNow()
	age := now - d.observedAt
	if age > max(d.agent.settings.HeartbeatInterval.Duration, workerCallTimeout) {
		return nil
	}
	hb := d.manager.Heartbeat(now)
	if hb == nil {
		return nil
	}
	for _, u := range d.usage {
		hb.Usage = append(hb.Usage, &apiv1.UsageReport{Task: u.Task, Used: u.Used, AgeMs: u.AgeMs + age.Milliseconds()})
	}
	return hb
}

// followOrdersAsync executes orders without delaying the heartbeats, which keep the host's
// targets announced while the worker hangs. Orders that arrive while earlier ones are being
// executed are skipped: the leader repeats orders until their effect is reported.
func (d *workerDriver) followOrdersAsync(ctx context.Context, o *apiv1.WorkerOrders) {
	if !d.ordersMu.TryLock() {
		d.log.Warn("orders skipped; the worker is still executing earlier ones", zap.Uint64("sequence", o.Sequence))
		return
	}
	d.group.Go("orders", func() {
		defer d.ordersMu.Unlock()
		d.followOrders(ctx, o)
	})
}

func (d *workerDriver) followOrders(ctx context.Context, o *apiv1.WorkerOrders) {
	d.mu.Lock()
	actions := d.manager.ApplyOrders(d.agent.bootNow(), o)
	d.mu.Unlock()
	if actions.DropReason != "" {
		d.log.Warn("orders dropped", zap.Uint64("sequence", o.Sequence), zap.String("reason", actions.DropReason))
		return
	}
	d.renew(ctx, actions.Renew, actions.Deadline)
	for _, s := range actions.Stop {
		d.group.Go("stop", func() { d.stop(ctx, s) })
	}
	for _, t := range actions.Throttle {
		d.throttle(ctx, t)
	}
	for _, s := range actions.Refused {
		d.log.Info("start refused", taskField(s.Task), attemptField(s.Task), zap.String("reason", "insufficient capacity"))
	}
	d.startAll(ctx, actions)
	d.forget(ctx, actions.Forget)
	if len(actions.Refused)+len(actions.Start) > 0 {
		d.observe(ctx)
		d.agent.requestHeartbeat()
	}
}

func (d *workerDriver) renew(ctx context.Context, tasks []*apiv1.TaskAttempt, deadline time.Duration) {
	if len(tasks) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, workerCallTimeout)
	defer cancel()
	if err := d.worker.Renew(ctx, tasks, deadline); err != nil {
		d.log.Warn("renewal failed", zap.Int("tasks", len(tasks)), zap.Error(err))
	}
}

func (d *workerDriver) throttle(ctx context.Context, t *apiv1.ThrottleTask) {
	ctx, cancel := context.WithTimeout(ctx, workerCallTimeout)
	defer cancel()
	err := d.worker.Throttle(ctx, t)
	d.log.Info("throttled", taskField(t.Task), attemptField(t.Task),
		zap.Int32("share_milli", t.ShareMilli), zap.Error(err))
}

func (d *workerDriver) forget(ctx context.Context, tasks []*apiv1.TaskAttempt) {
	if len(tasks) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, workerCallTimeout)
	defer cancel()
	if err := d.worker.Forget(ctx, tasks); err != nil {
		d.log.Warn("ended tasks could not be removed from the worker", zap.Int("tasks", len(tasks)), zap.Error(err))
	}
}

func (d *workerDriver) startAll(ctx context.Context, a lease.Actions) {
	starts := pool.New().WithMaxGoroutines(maxParallelStarts)
	for _, s := range a.Start {
		starts.Go(func() { d.start(ctx, s, a) })
	}
	starts.Wait()
}

func (d *workerDriver) start(ctx context.Context, s *apiv1.StartTask, a lease.Actions) {
	callCtx, cancel := context.WithTimeout(ctx, workerCallTimeout)
	defer cancel()
	err := d.worker.Start(callCtx, s, a.StartDeadline)
	message := ""
	if err != nil {
		message = err.Error()
	}
	d.mu.Lock()
	renew := d.manager.RecordStart(s, startResult(err), message, a.Deadline)
	d.mu.Unlock()
	if renew {
		d.renew(ctx, []*apiv1.TaskAttempt{s.Task}, a.Deadline)
	}
	d.log.Info("started", taskField(s.Task), attemptField(s.Task),
		zap.Duration("deadline", a.Deadline), zap.Error(err))
}

// startResult classifies an error of Start. Only a refusal proves that the worker did not
// start the task.
func startResult(err error) lease.StartResult {
	var refusal *worker.Error
	switch {
	case err == nil:
		return lease.StartDone
	case worker.Refused(err, worker.CodeExpired):
		return lease.StartExpired
	case errors.As(err, &refusal):
		return lease.StartRefused
	}
	return lease.StartUnknown
}

// stop takes a checkpoint if the order requests one, then stops the task. It stops the task
// also if the checkpoint call fails: the last durable checkpoint is used then.
func (d *workerDriver) stop(ctx context.Context, s *apiv1.StopTask) {
	checkpoint := ""
	var checkpointErr error
	if s.Checkpoint {
		checkpoint, checkpointErr = d.checkpoint(ctx, s.Task)
	}
	stopCtx, cancel := context.WithTimeout(ctx, workerCallTimeout)
	defer cancel()
	err := d.worker.Stop(stopCtx, s.Task)
	d.mu.Lock()
	d.manager.RecordStop(s.Task, checkpoint, err == nil)
	d.mu.Unlock()
	d.log.Info("stopped", taskField(s.Task), attemptField(s.Task), zap.String("reason", s.Reason),
		zap.String("checkpoint", checkpoint), zap.NamedError("checkpoint_error", checkpointErr), zap.Error(err))
	d.observe(ctx)
}

func (d *workerDriver) checkpoint(ctx context.Context, t *apiv1.TaskAttempt) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, checkpointTimeout)
	defer cancel()
	return d.worker.Checkpoint(ctx, t)
}

func taskField(t *apiv1.TaskAttempt) zap.Field    { return zap.String("task", t.GetTask()) }
func attemptField(t *apiv1.TaskAttempt) zap.Field { return zap.Uint64("attempt", t.GetAttempt()) }
