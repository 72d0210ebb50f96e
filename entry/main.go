package entry

import (
	"context"

	"go.uber.org/zap"

	"github.com/cairnlift/cairnlift/daemon"
	"github.com/cairnlift/cairnlift/settings"
)

// Main runs cairnlift-entry with the given command line arguments and returns its exit code.
func Main(args []string) int {
	return daemon.Program[*settings.Entry]{
		Name: "cairnlift-entry",
		Help: "Accepts callers' requests and operators' configurations, and routes requests to targets.",
		Load: settings.LoadEntry,
		Log:  func(s *settings.Entry) settings.Log { return s.Log },
		Run: func(ctx context.Context, s *settings.Entry, log *zap.Logger) error {
			e, err := New(Options{Settings: s, Logger: log})
			if err != nil {
				return err
			}
			return e.Run(ctx)
		},
	}.Main(args)
}
