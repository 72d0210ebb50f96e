package cli

import (
	"cmp"
	"context"
	"fmt"
	"net/http"
	"os"
	"strings"

	"github.com/alecthomas/kingpin/v2"
	"github.com/cockroachdb/errors"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/jobapi"
	"github.com/cairnlift/cairnlift/jobqueue"
)

// addJobCommands adds the commands for queues, submitted jobs, maintenance waves and hosts.
func (a *App) addJobCommands() {
	a.Command(a.Root(), "accounts", "Show the client accounts with their use and waiting work.", a.listAccounts)
	queues := a.kingpin.Command("queues", "Show or change the queues that callers submit jobs to.")
	a.Command(queues, "list", "Show each queue and whether it is held.", a.listQueues)
	a.Command(queues, "hold", "Let nothing of a queue start; what runs continues.", a.holdQueue)
	a.Command(queues, "release", "Let work of a queue start again.", a.releaseQueue)
	a.Command(queues, "apply", "Submit the queues from a JSON file; the highest version is in force.", a.applyQueues)
	a.Command(queues, "pending", "Show how many jobs of a queue wait for their first start.", a.pendingJobs)
	jobs := a.kingpin.Command("job", "Submit, read, prioritize or cancel a job.")
	a.Command(jobs, "submit", "Submit a job from a JSON file; the same id is the same job.", a.submitJob)
	a.Command(jobs, "state", "Show a job's state.", a.jobState)
	a.Command(jobs, "cancel", "Cancel a job.", a.cancelJob)
	a.Command(jobs, "explain", "Show where a job's tasks run and why its other tasks wait.", a.explainJob)
	a.Command(jobs, "prioritize", "Put a job before the others of its priority.", a.prioritizeJob)
	waves := a.kingpin.Command("wave", "Start or show a maintenance wave.")
	a.Command(waves, "start", "Submit a wave from a JSON file; the same number is the same wave.", a.startWave)
	a.Command(waves, "state", "Show the progress of each host of a wave.", a.waveState)
	hosts := a.kingpin.Command("host", "List the hosts, or move one to another pool.")
	a.Command(hosts, "list", "Show each host with its pool, its worker and its newest move.", a.listHosts)
	a.Command(a.kingpin, "workers", "Show the observed rate of each worker, its uncertainty and the cause of a low one.", a.listWorkers)
	zones := a.kingpin.Command("zones", "List the availability zones, or cordon one: nothing starts in a cordoned zone, and what runs there continues.")
	a.Command(zones, "list", "Show each availability zone with its workers and runs, and whether it is cordoned.", a.listZones)
	a.Command(zones, "cordon", "Let nothing start in an availability zone.", a.cordonZone)
	a.Command(zones, "uncordon", "Let work start again in an availability zone.", a.uncordonZone)
	a.Command(hosts, "move", "Move a host to a pool, after its current work has moved elsewhere.", a.moveHost)
}

// withJobClient calls f with a client of the job API and a context that ends after the timeout.
func (a *App) withJobClient(ctx context.Context, f func(context.Context, *jobapi.Client) error) error {
	addresses, err := a.entryAddresses()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, a.timeout)
	defer cancel()
	return f(ctx, &jobapi.Client{Addresses: addresses, HTTP: http.DefaultClient})
}

func (a *App) applyQueues(c *kingpin.CmdClause) Runner {
	file := c.Arg("file", "The queues, as JSON.").Required().String()
	return func(ctx context.Context) error {
		return a.submitFile(ctx, *file, (*jobapi.Client).PutQueues)
	}
}

func (a *App) submitJob(c *kingpin.CmdClause) Runner {
	file := c.Arg("file", "The job, as JSON.").Required().String()
	return func(ctx context.Context) error {
		return a.submitFile(ctx, *file, (*jobapi.Client).Submit)
	}
}

// submitFile sends the content of a file with f and prints that it was accepted.
func (a *App) submitFile(ctx context.Context, file string, f func(*jobapi.Client, context.Context, []byte) error) error {
	content, err := os.ReadFile(file)
	if err != nil {
		return errors.Wrap(err, "the file can't be read")
	}
	return a.withJobClient(ctx, func(ctx context.Context, c *jobapi.Client) error {
		if err := f(c, ctx, content); err != nil {
			return err
		}
		a.printf("accepted\n")
		return nil
	})
}

// hostAndPathArgs declares the arguments that name a job or a queue.
func hostAndPathArgs(c *kingpin.CmdClause) (host, path *string) {
	return c.Arg("host", "The queue's host.").Required().String(), c.Arg("path", "The path, with the job's id.").Required().String()
}

func (a *App) jobState(c *kingpin.CmdClause) Runner {
	host, path := hostAndPathArgs(c)
	return func(ctx context.Context) error {
		return a.withJobClient(ctx, func(ctx context.Context, c *jobapi.Client) error {
			s, err := c.Read(ctx, *host, *path)
			if err == nil {
				a.printf("%s\n", s.State)
			}
			return err
		})
	}
}

func (a *App) pendingJobs(c *kingpin.CmdClause) Runner {
	host, path := hostAndPathArgs(c)
	return func(ctx context.Context) error {
		return a.withJobClient(ctx, func(ctx context.Context, c *jobapi.Client) error {
			s, err := c.Read(ctx, *host, *path)
			if err != nil {
				return err
			}
			if s.Pending == nil {
				return errors.New("the path names a job, not a queue")
			}
			a.printf("%d\n", *s.Pending)
			return nil
		})
	}
}

func (a *App) cancelJob(c *kingpin.CmdClause) Runner {
	host, path := hostAndPathArgs(c)
	return func(ctx context.Context) error {
		return a.withJobClient(ctx, func(ctx context.Context, c *jobapi.Client) error {
			if err := c.Cancel(ctx, *host, *path); err != nil {
				return err
			}
			a.printf("cancelled\n")
			return nil
		})
	}
}

func (a *App) explainJob(c *kingpin.CmdClause) Runner {
	id := c.Arg("id", "The job's id.").Required().String()
	return func(ctx context.Context) error {
		return a.withJobClient(ctx, func(ctx context.Context, c *jobapi.Client) error {
			e, err := c.Explain(ctx, *id)
			if err != nil {
				return err
			}
			a.printJobExplanation(e)
			holds, err := c.Holds(ctx)
			if err == nil {
				a.printHoldOf(e.Job.GetQueue().GetName(), holds)
			}
			return err
		})
	}
}

// printJobExplanation prints the state of a job and one line per step, run and wait.
func (a *App) printJobExplanation(e *apiv1.JobExplanation) {
	a.printf("%s%s\n", strings.ToLower(strings.TrimPrefix(e.Job.GetState().String(), "JOB_STATE_")), failureText(e.Job))
	if account := e.Job.GetSpec().GetAccount(); account != "" {
		a.printf("account %s\n", account)
	}
	if e.Job.GetPrioritized() {
		a.printf("prioritized before the others of its priority\n")
	}
	for k, o := range e.Job.GetOccurrences() {
		for i, s := range o.Steps {
			a.printJobStep(k, i, s)
		}
	}
	for _, w := range e.Waits {
		a.printf("step %d/%d: %d tasks wait; workers ruled out: %s\n", w.Occurrence, w.Step, w.Tasks, w.Workers)
	}
}

// failureText returns why a job failed, or an empty string if it did not.
func failureText(j *apiv1.SubmittedJobRecord) string {
	task := jobqueue.TaskIDOf(j.GetFailedTask())
	switch j.GetFailure() {
	case apiv1.JobFailure_JOB_FAILURE_ATTEMPTS:
		return fmt.Sprintf(": task %s has no attempts left", task)
	case apiv1.JobFailure_JOB_FAILURE_CRASHES:
		return fmt.Sprintf(": workers crashed under task %s", task)
	}
	return ""
}

func (a *App) printJobStep(occurrence, number int, s *apiv1.JobStepRecord) {
	done, failed := 0, uint32(0)
	for _, t := range s.Tasks {
		if t.Done {
			done++
		}
		failed += t.Failures
	}
	a.printf("step %d/%d: %d of %d tasks done, %d runs failed\n", occurrence, number, done, len(s.Tasks), failed)
	for i, t := range s.Tasks {
		for _, r := range t.Runs {
			stopping := ""
			if r.Stopping {
				stopping = ", being stopped"
			}
			if r.OnTrial {
				stopping += ", on probation"
			}
			a.printf("  task %d: run %d on %s%s\n", i, r.Run, r.Worker, stopping)
		}
		if n := len(t.GetCrashes().GetCrashes()); n > 0 {
			a.printf("  task %d: %d workers crashed under it\n", i, n)
		}
	}
}

func (a *App) startWave(c *kingpin.CmdClause) Runner {
	file := c.Arg("file", "The wave, as JSON.").Required().String()
	return func(ctx context.Context) error {
		return a.submitFile(ctx, *file, (*jobapi.Client).PutWave)
	}
}

func (a *App) waveState(c *kingpin.CmdClause) Runner {
	number := c.Arg("number", "The wave's number.").Required().Uint64()
	return func(ctx context.Context) error {
		return a.withJobClient(ctx, func(ctx context.Context, c *jobapi.Client) error {
			w, err := c.Wave(ctx, *number)
			if err != nil {
				return err
			}
			for _, h := range w.Hosts {
				a.printf("%s\t%s\n", h.Host, maintenanceStateText(h.State))
			}
			return nil
		})
	}
}

// maintenanceStateText returns the name of a maintenance state as shown to operators.
func maintenanceStateText(s apiv1.MaintenanceState) string {
	return strings.ToLower(strings.TrimPrefix(s.String(), "MAINTENANCE_STATE_"))
}

func (a *App) listHosts(*kingpin.CmdClause) Runner {
	return func(ctx context.Context) error {
		return a.withJobClient(ctx, func(ctx context.Context, c *jobapi.Client) error {
			hosts, err := c.Hosts(ctx)
			if err != nil {
				return err
			}
			for _, h := range hosts {
				a.printf("%s\t%s\t%s\t%s\t%s\n", h.Host, h.Pool, hostStateText(h.Up), cmp.Or(h.Worker, "-"), moveText(h.Move))
			}
			return nil
		})
	}
}

// hostStateText returns whether a host is up as shown to operators.
func hostStateText(up bool) string {
	if up {
		return "up"
	}
	return "away"
}

// moveText returns the pool and the state of a move as shown to operators.
func moveText(m *apiv1.HostMove) string {
	if m == nil {
		return "-"
	}
	return "to " + m.Pool + ": " + strings.ToLower(strings.TrimPrefix(m.State.String(), "MOVE_STATE_"))
}

func (a *App) moveHost(c *kingpin.CmdClause) Runner {
	host := c.Arg("host", "Name of the host on the platform.").Required().String()
	pool := c.Arg("pool", "The pool of workers to move it to.").Required().String()
	return func(ctx context.Context) error {
		return a.withJobClient(ctx, func(ctx context.Context, c *jobapi.Client) error {
			if err := c.MoveHost(ctx, *host, *pool); err != nil {
				return err
			}
			a.printf("accepted\n")
			return nil
		})
	}
}
