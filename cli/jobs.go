package cli

import (
	"context"
	"net/http"
	"os"

	"github.com/alecthomas/kingpin/v2"
	"github.com/cockroachdb/errors"

	"github.com/cairnlift/cairnlift/jobapi"
)

// addJobs adds the commands of queues and of the jobs that callers submit.
func (a *App) addJobs() {
	queues := a.kingpin.Command("queues", "Show or change the queues that callers submit jobs to.")
	a.Command(queues, "apply", "Submit the queues, a JSON file; the highest version is in force.", a.applyQueues)
	a.Command(queues, "pending", "Show how many jobs of a queue wait for their first start.", a.pendingJobs)
	jobs := a.kingpin.Command("job", "Submit, read or cancel a job.")
	a.Command(jobs, "submit", "Hand a job in, a JSON file; the same id is the same job.", a.submitJob)
	a.Command(jobs, "state", "Show a job's state.", a.jobState)
	a.Command(jobs, "cancel", "Cancel a job.", a.cancelJob)
}

// withJobs runs f with a client until the timeout.
func (a *App) withJobs(ctx context.Context, f func(context.Context, *jobapi.Client) error) error {
	addresses, err := a.entries()
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
		return a.withFile(ctx, *file, (*jobapi.Client).PutQueues)
	}
}

func (a *App) submitJob(c *kingpin.CmdClause) Runner {
	file := c.Arg("file", "The job, as JSON.").Required().String()
	return func(ctx context.Context) error {
		return a.withFile(ctx, *file, (*jobapi.Client).Submit)
	}
}

func (a *App) withFile(ctx context.Context, file string, f func(*jobapi.Client, context.Context, []byte) error) error {
	text, err := os.ReadFile(file)
	if err != nil {
		return errors.Wrap(err, "file")
	}
	return a.withJobs(ctx, func(ctx context.Context, c *jobapi.Client) error {
		if err := f(c, ctx, text); err != nil {
			return err
		}
		a.printf("accepted\n")
		return nil
	})
}

// placeOf declares the arguments that name a job or a queue.
func placeOf(c *kingpin.CmdClause) (host, path *string) {
	return c.Arg("host", "The queue's host.").Required().String(), c.Arg("path", "The path, with the job's id.").Required().String()
}

func (a *App) jobState(c *kingpin.CmdClause) Runner {
	host, path := placeOf(c)
	return func(ctx context.Context) error {
		return a.withJobs(ctx, func(ctx context.Context, c *jobapi.Client) error {
			s, err := c.Read(ctx, *host, *path)
			if err == nil {
				a.printf("%s\n", s.State)
			}
			return err
		})
	}
}

func (a *App) pendingJobs(c *kingpin.CmdClause) Runner {
	host, path := placeOf(c)
	return func(ctx context.Context) error {
		return a.withJobs(ctx, func(ctx context.Context, c *jobapi.Client) error {
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
	host, path := placeOf(c)
	return func(ctx context.Context) error {
		return a.withJobs(ctx, func(ctx context.Context, c *jobapi.Client) error {
			if err := c.Cancel(ctx, *host, *path); err != nil {
				return err
			}
			a.printf("cancelled\n")
			return nil
		})
	}
}
