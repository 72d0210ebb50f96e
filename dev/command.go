package dev

import (
	"context"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"github.com/cairnlift/cairnlift/cli"
	"github.com/cairnlift/cairnlift/logging"
	"github.com/cairnlift/cairnlift/settings"
)

// AddCommand adds the dev command to the operators' command line.
func AddCommand(app *cli.App) {
	app.Command(app.Root(), "dev", "Run an entry, an agent and simulated components in one process, to try the system.",
		func(c *kingpin.CmdClause) cli.Runner {
			data := c.Flag("data", "Data folder; the default is a temporary one that is removed at the end.").String()
			level := c.Flag("log-level", "debug, info, warn or error.").Default("warn").Enum("debug", "info", "warn", "error")
			return func(ctx context.Context) error {
				log, err := logging.New(settings.Log{Level: *level, Format: "console"})
				if err != nil {
					return err
				}
				return Run(ctx, Options{
					Addresses:  DefaultAddresses(),
					DataFolder: *data,
					Logger:     log,
					Out:        os.Stdout,
				})
			}
		})
}
