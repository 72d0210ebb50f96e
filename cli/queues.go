package cli

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/alecthomas/kingpin/v2"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/jobapi"
)

// holdView is a queue and its hold as printed for operators.
type holdView struct {
	Queue    string `json:"queue"`
	Held     bool   `json:"held"`
	Revision uint64 `json:"revision"`
	// Since is when the queue was last held or released, empty if never.
	Since    string `json:"since,omitempty"`
	Operator string `json:"operator,omitempty"`
}

func newHoldView(h *apiv1.QueueHold) holdView {
	v := holdView{Queue: h.GetQueue(), Held: h.GetHeld(), Revision: h.GetRevision(), Operator: h.GetOperator()}
	if h.GetSinceMs() > 0 {
		v.Since = time.UnixMilli(h.SinceMs).UTC().Format(time.RFC3339)
	}
	return v
}

func (v holdView) state() string {
	if v.Held {
		return "held"
	}
	return "open"
}

// listQueues is also the command "queues" alone.
func (a *App) listQueues(c *kingpin.CmdClause) Runner {
	c.Default()
	asJSON := jsonFlag(c)
	return func(ctx context.Context) error {
		return a.withJobClient(ctx, func(ctx context.Context, c *jobapi.Client) error {
			holds, err := c.Holds(ctx)
			if err != nil {
				return err
			}
			views := make([]holdView, 0, len(holds))
			for _, h := range holds {
				views = append(views, newHoldView(h))
			}
			return a.printResult(*asJSON, views, func() {
				for _, v := range views {
					a.printf("%s\t%s\t%s\t%s\n", v.Queue, v.state(), cmp.Or(v.Since, "-"), cmp.Or(v.Operator, "-"))
				}
			})
		})
	}
}

// printHoldOf prints the hold of a job's queue, nothing if the queue is not held.
func (a *App) printHoldOf(queue string, holds []*apiv1.QueueHold) {
	i := slices.IndexFunc(holds, func(h *apiv1.QueueHold) bool { return h.Queue == queue && h.Held })
	if i >= 0 {
		v := newHoldView(holds[i])
		a.printf("queue %s is held since %s by %s: nothing of it starts\n", v.Queue, cmp.Or(v.Since, "-"), cmp.Or(v.Operator, "-"))
	}
}

func (a *App) holdQueue(c *kingpin.CmdClause) Runner { return a.orderQueue(c, true) }

func (a *App) releaseQueue(c *kingpin.CmdClause) Runner { return a.orderQueue(c, false) }

// queueOrderResult is the printed result of an accepted order.
type queueOrderResult struct {
	Queue string `json:"queue"`
	Held  bool   `json:"held"`
}

func (a *App) orderQueue(c *kingpin.CmdClause, held bool) Runner {
	queue := c.Arg("name", "Name of the queue.").Required().String()
	asJSON := jsonFlag(c)
	return func(ctx context.Context) error {
		return a.withJobClient(ctx, func(ctx context.Context, c *jobapi.Client) error {
			if err := c.OrderQueue(ctx, *queue, held, a.operator); err != nil {
				return err
			}
			return a.printResult(*asJSON, queueOrderResult{*queue, held}, func() { a.printf("accepted\n") })
		})
	}
}

func (a *App) prioritizeJob(c *kingpin.CmdClause) Runner {
	id := c.Arg("id", "The job's id.").Required().String()
	return func(ctx context.Context) error {
		return a.withJobClient(ctx, func(ctx context.Context, c *jobapi.Client) error {
			if err := c.Prioritize(ctx, *id, a.operator); err != nil {
				return err
			}
			a.printf("accepted\n")
			return nil
		})
	}
}

// accountView is a client account as printed for operators. A limit of 0 is none.
type accountView struct {
	// Account is empty for the jobs without an account.
	Account          string  `json:"account"`
	Weight           float64 `json:"weight"`
	CPUMilli         int64   `json:"cpu_milli"`
	CPUMilliLimit    int64   `json:"cpu_milli_limit,omitempty"`
	MemoryMB         int64   `json:"memory_mb"`
	Accelerators     int64   `json:"accelerators"`
	RunningTasks     uint32  `json:"running_tasks"`
	TasksLimit       uint32  `json:"tasks_limit,omitempty"`
	WaitingTasks     uint32  `json:"waiting_tasks"`
	PendingJobs      uint32  `json:"pending_jobs"`
	PendingJobsLimit uint32  `json:"pending_jobs_limit,omitempty"`
	Share            float64 `json:"share"`
	Refused          uint64  `json:"refused"`
	NextTurnMs       int64   `json:"next_turn_ms"`
}

func newAccountView(r *apiv1.AccountRecord) accountView {
	return accountView{
		Account: r.Name, Weight: r.Weight, CPUMilli: r.CpuMilli, CPUMilliLimit: r.Limits.GetCpuMilli(), MemoryMB: r.MemoryMb,
		Accelerators: r.Accelerators, RunningTasks: r.RunningTasks, TasksLimit: r.Limits.GetTasks(), WaitingTasks: r.WaitingTasks,
		PendingJobs: r.PendingJobs, PendingJobsLimit: r.Limits.GetPendingJobs(), Share: r.Share, Refused: r.Refused, NextTurnMs: r.NextTurnMs,
	}
}

func (v accountView) row() string {
	processors := func(milli int64) string { return strconv.FormatFloat(float64(milli)/milliPerUnit, 'g', -1, 64) }
	limit := func(used any, limit string) string {
		if limit == "0" {
			return fmt.Sprint(used)
		}
		return fmt.Sprintf("%v/%s", used, limit)
	}
	return joinCells(cmp.Or(v.Account, "-"), v.Weight, limit(processors(v.CPUMilli), processors(v.CPUMilliLimit)), v.MemoryMB, v.Accelerators,
		limit(v.RunningTasks, fmt.Sprint(v.TasksLimit)), v.WaitingTasks, limit(v.PendingJobs, fmt.Sprint(v.PendingJobsLimit)),
		fmt.Sprintf("%.3f", v.Share), v.Refused, time.Duration(v.NextTurnMs)*time.Millisecond)
}

func (a *App) listAccounts(c *kingpin.CmdClause) Runner {
	asJSON := jsonFlag(c)
	return func(ctx context.Context) error {
		return a.withJobClient(ctx, func(ctx context.Context, c *jobapi.Client) error {
			accounts, err := c.Accounts(ctx)
			if err != nil {
				return err
			}
			views := make([]accountView, 0, len(accounts))
			for _, r := range accounts {
				views = append(views, newAccountView(r))
			}
			return a.printResult(*asJSON, views, func() {
				a.printTable(joinCells("ACCOUNT", "WEIGHT", "PROCESSORS/LIMIT", "MEMORY MB", "ACCELERATORS", "TASKS/LIMIT", "WAITING", "PENDING JOBS/LIMIT",
					"SHARE", "REFUSED", "NEXT TURN"), formatRows(views, accountView.row))
			})
		})
	}
}
