package agent

import (
	"context"

	"go.uber.org/zap"

	"github.com/cairnlift/cairnlift/daemon"
	"github.com/cairnlift/cairnlift/settings"
	"github.com/cairnlift/cairnlift/worker"
)

// Main runs cairnlift-agent with the command line arguments and returns its exit code.
func Main(args []string) int {
	return daemon.Program[*settings.Agent]{
		Name: "cairnlift-agent",
		Help: "Controls the admission of requests to the targets of one host and maintains its worker's leases.",
		Load: settings.LoadAgent,
		Log:  func(s *settings.Agent) settings.Log { return s.Log },
		Run: func(ctx context.Context, s *settings.Agent, log *zap.Logger) error {
			o := Options{Settings: s, Logger: log}
			if s.Worker != "" {
				o.Worker = worker.NewClient(s.Worker)
			}
			a, err := New(o)
			if err != nil {
				return err
			}
			return a.Run(ctx)
		},
	}.Main(args)
}
