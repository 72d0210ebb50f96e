package fakecmd

import (
	"context"
	"strings"

	"github.com/alecthomas/kingpin/v2"
	"github.com/cockroachdb/errors"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/fakes"
	"github.com/cairnlift/cairnlift/worker"
)

const (
	milliPerProcessor = 1000
	bytesPerGB        = 1 << 30
)

func registerWorker(app *kingpin.Application) (string, action) {
	c := app.Command("worker", "Run pretend tasks as the platform's worker.")
	address := c.Flag("listen", "IP and port.").Required().String()
	name := c.Flag("name", "Name of the worker.").Required().String()
	region := c.Flag("region", "Region.").Default("local").String()
	zone := c.Flag("zone", "Availability zone.").Default("local-a").String()
	rack := c.Flag("rack", "Rack.").Default("rack-1").String()
	processors := c.Flag("processors", "Processors.").Default("8").Int64()
	memory := c.Flag("memory-gb", "Memory in GB.").Default("16").Int64()
	accelerators := c.Flag("accelerators", "Accelerators.").Int64()
	runFactor := c.Flag("run-factor", "Real run time per declared run time.").Default("1").Float64()
	usageFactor := c.Flag("usage-factor", "Processors used per processor granted.").Default("1").Float64()
	usageLag := c.Flag("usage-lag", "Least age of usage reports.").Default("1s").Duration()
	failing := c.Flag("fail-everything", "Fail each task as it starts.").Bool()
	record := c.Flag("record", "File to append the record to.").String()
	return c.FullCommand(), func(ctx context.Context) error {
		info := &apiv1.WorkerInfo{
			Name:     *name,
			Location: &apiv1.Location{Region: *region, AvailabilityZone: *zone, Rack: *rack},
			Capacity: &apiv1.Resources{
				MilliProcessors: *processors * milliPerProcessor,
				MemoryBytes:     *memory * bytesPerGB,
				Accelerators:    *accelerators,
			},
		}
		return runWorker(ctx, *address, *record, fakes.WorkerConfig{
			Info: info, RunFactor: *runFactor, UsageFactor: *usageFactor,
			UsageLag: *usageLag, FailEverything: *failing,
		})
	}
}

func runWorker(ctx context.Context, address, path string, cfg fakes.WorkerConfig) error {
	listener, err := listen(address)
	if err != nil {
		return err
	}
	record, err := fakes.NewRecorder[fakes.RunEvent](path)
	if err != nil {
		return err
	}
	// Two starts on one host never read the same boot clock.
	cfg.Info.Incarnation = uint64(worker.Now())
	return fakes.NewWorkerServer(cfg, record).Serve(ctx, listener)
}

func registerTarget(app *kingpin.Application) (string, action) {
	c := app.Command("target", "Answer requests for a service, announced to an agent.")
	cfg := &fakes.TargetConfig{}
	c.Flag("listen", "IP and port.").Required().StringVar(&cfg.Announcement.Address)
	c.Flag("name", "Name of the target.").Required().StringVar(&cfg.Announcement.Name)
	c.Flag("service", "Service it belongs to.").Required().StringVar(&cfg.Announcement.Service)
	c.Flag("slots", "Requests at a time.").Default("8").IntVar(&cfg.Announcement.Slots)
	c.Flag("connections", "Connections.").Default("64").IntVar(&cfg.Announcement.Connections)
	c.Flag("ttl-ms", "Life of an announcement without renewal.").Default("1500").Int64Var(&cfg.Announcement.TTLMS)
	c.Flag("work", "Time a request takes.").DurationVar(&cfg.Work)
	c.Flag("truncated", "Share of answers cut short.").Float64Var(&cfg.Faults.Truncated)
	c.Flag("swapped", "Share of answers sent to another request.").Float64Var(&cfg.Faults.Swapped)
	c.Flag("failed", "Share of requests failed.").Float64Var(&cfg.Faults.Failed)
	c.Flag("closed", "Share of connections closed without an answer.").Float64Var(&cfg.Faults.Closed)
	c.Flag("late", "Share of answers sent late.").Float64Var(&cfg.Faults.Late)
	c.Flag("late-ms", "How late.").Int64Var(&cfg.Faults.LateMS)
	c.Flag("seed", "Seed of the faults.").Default("1").Int64Var(&cfg.Seed)
	c.Flag("no-record", "Keep no record, for measurements.").BoolVar(&cfg.NoRecord)
	agent := c.Flag("agent", "Local address of its agent.").Required().String()
	path := c.Flag("record", "File to append the record to.").String()
	return c.FullCommand(), func(ctx context.Context) error {
		listener, err := listen(cfg.Announcement.Address)
		if err != nil {
			return err
		}
		record, err := fakes.NewRecorder[fakes.ExecutedRequest](*path)
		if err != nil {
			return err
		}
		return fakes.NewTarget(*cfg, record).Serve(ctx, listener, *agent)
	}
}

func registerLink(app *kingpin.Application) (string, action) {
	c := app.Command("link", "Forward TCP connections until told otherwise.")
	control := c.Flag("control", "IP and port that takes changes of state.").Required().String()
	routes := c.Arg("route", "NAME=LISTEN=UPSTREAM").Required().Strings()
	return c.FullCommand(), func(ctx context.Context) error {
		controlListener, err := listen(*control)
		if err != nil {
			return err
		}
		var parsed []fakes.LinkRoute
		for _, r := range *routes {
			route, err := parseRoute(r)
			if err != nil {
				return err
			}
			parsed = append(parsed, route)
		}
		return fakes.ServeLinks(ctx, controlListener, parsed)
	}
}

func parseRoute(text string) (fakes.LinkRoute, error) {
	const parts = 3
	p := strings.Split(text, "=")
	if len(p) != parts {
		return fakes.LinkRoute{}, errors.Newf("route %q is not NAME=LISTEN=UPSTREAM", text)
	}
	listener, err := listen(p[1])
	return fakes.LinkRoute{Name: p[0], Listener: listener, Upstream: p[2]}, err
}
