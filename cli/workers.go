package cli

import (
	"cmp"
	"context"

	"github.com/alecthomas/kingpin/v2"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/jobapi"
)

// workerView is the observed rate of a worker as printed for operators.
type workerView struct {
	Worker      string  `json:"worker"`
	Zone        string  `json:"zone"`
	Rate        float64 `json:"rate"`
	Uncertainty float64 `json:"uncertainty"`
	Samples     float64 `json:"samples"`
	Reason      string  `json:"reason,omitempty"`
}

func newWorkerView(r *apiv1.WorkerRateRecord) workerView {
	return workerView{
		Worker: r.GetWorker(), Zone: r.GetAvailabilityZone(), Rate: r.GetRate(), Uncertainty: r.GetUncertainty(),
		Samples: r.GetSamples(), Reason: r.GetReason(),
	}
}

func (a *App) listWorkers(c *kingpin.CmdClause) Runner {
	asJSON := jsonFlag(c)
	return func(ctx context.Context) error {
		return a.withJobClient(ctx, func(ctx context.Context, c *jobapi.Client) error {
			workers, rated, err := c.Workers(ctx)
			if err != nil {
				return err
			}
			views := make([]workerView, 0, len(workers))
			for _, w := range workers {
				views = append(views, newWorkerView(w))
			}
			return a.printResult(*asJSON, views, func() { a.printWorkers(views, rated) })
		})
	}
}

func (a *App) printWorkers(views []workerView, rated bool) {
	if !rated {
		a.printf("the leader does not rate workers (--worker-rates off)\n")
	}
	for _, v := range views {
		a.printf("%s\t%s\trate %.2f\tuncertainty %.2f\t%.1f runs\t%s\n", v.Worker, cmp.Or(v.Zone, "-"), v.Rate, v.Uncertainty, v.Samples,
			cmp.Or(v.Reason, "-"))
	}
}
