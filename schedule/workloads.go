package schedule

import (
	"strings"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/jobqueue"
)

// demandOf returns what a task counts against the share and the limits of its account and queue. A
// backfill task reserves no processors but uses those that it finds, so what it demands counts.
// Otherwise an account could take all idle processors by backfill tasks at no cost to its share.
func demandOf(s *apiv1.JobStep) jobqueue.Resources {
	return jobqueue.Resources{CPUMilli: s.CpuMilli, MemoryMB: s.MemoryMb, Accelerators: s.Accelerators}
}

// workload is the number of running tasks and what they demand.
type workload struct {
	demand jobqueue.Resources
	tasks  int
}

// add adds n times the tasks of another workload, or removes them if n is negative.
func (w *workload) add(o workload, n int) {
	w.demand, w.tasks = w.demand.Add(o.demand.Times(n)), w.tasks+n*o.tasks
}

// queueKey identifies a queue, whose name is neither unique nor required.
type queueKey struct{ host, prefix string }

func keyOf(q *apiv1.JobQueue) queueKey { return queueKey{strings.ToLower(q.Host), q.PathPrefix} }

// workloadKey identifies the work of one account in one queue.
type workloadKey struct {
	account string
	queue   queueKey
}

// keyedWorkload is the work of one account in one queue on one worker.
type keyedWorkload struct {
	key workloadKey
	workload
}

// workloads is the running work of the whole fleet by account and by queue. It is updated with each worker
// whose runs have changed, since summing up all runs took longer than the rest of a round: there are
// 47,000 on the largest fleet.
type workloads struct {
	demands  map[string]jobqueue.Resources
	accounts map[string]*workload
	queues   map[queueKey]*workload
}

func newWorkloads() workloads {
	return workloads{demands: map[string]jobqueue.Resources{}, accounts: map[string]*workload{}, queues: map[queueKey]*workload{}}
}

// add adds the work on a worker, or removes it if sign is -1.
func (t workloads) add(list []keyedWorkload, sign int) {
	for _, k := range list {
		update(t.accounts, k.key.account, k.workload, sign)
		update(t.queues, k.key.queue, k.workload, sign)
		if a := t.accounts[k.key.account]; a != nil {
			t.demands[k.key.account] = a.demand
		} else {
			delete(t.demands, k.key.account)
		}
	}
}

func update[K comparable](totals map[K]*workload, key K, w workload, sign int) {
	total := totals[key]
	if total == nil {
		total = &workload{}
		totals[key] = total
	}
	total.add(w, sign)
	if total.tasks == 0 {
		delete(totals, key)
	}
}

// workloadsOn returns the work on a worker by account and queue.
func workloadsOn(w *jobqueue.Worker) []keyedWorkload {
	var list []keyedWorkload
	for _, run := range w.Runs {
		key := workloadKey{run.Job().Account(), keyOf(run.Job().Queue)}
		i := 0
		for i < len(list) && list[i].key != key {
			i++
		}
		if i == len(list) {
			list = append(list, keyedWorkload{key: key})
		}
		list[i].add(workload{demandOf(run.Step), 1}, 1)
	}
	return list
}

// exceeds reports whether n more tasks would exceed a limit.
func (w workload) exceeds(limits *apiv1.WorkLimits, demand jobqueue.Resources, n int) bool {
	w.add(workload{demand, 1}, n)
	return limits.GetTasks() > 0 && w.tasks > int(limits.GetTasks()) ||
		limits.GetCpuMilli() > 0 && w.demand.CPUMilli > limits.GetCpuMilli()
}
