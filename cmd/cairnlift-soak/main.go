// Command cairnlift-soak plays cairnlift's roles on the users' platform as real processes and
// kills some of them. It is for developers; no role starts it.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"

	"github.com/alecthomas/kingpin/v2"
	"github.com/cockroachdb/errors"

	"github.com/cairnlift/cairnlift/platform/platformtest"
	"github.com/cairnlift/cairnlift/soak"
)

func main() {
	app := kingpin.New("cairnlift-soak", "Plays real processes under faults.")
	lives := app.Command("lives", "Workers die and come back under their ids.")
	first := lives.Flag("first", "First seed.").Default("1").Uint64()
	seeds := lives.Flag("seeds", "How many seeds.").Default("1").Uint64()
	folder := lives.Flag("folder", "Folder of the plays.").Required().String()
	program := lives.Flag("program", "Path of cairnlift-platform.").Required().String()
	workers := lives.Flag("workers", "How many workers.").Default("8").Int()
	worker := app.Command("worker", "Stands in for the platform's worker.").Hidden()
	settings := worker.Arg("settings", "Settings as JSON.").Required().String()
	chosen := kingpin.MustParse(app.Parse(os.Args[1:]))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	var err error
	if chosen == worker.FullCommand() {
		err = runWorker(ctx, *settings)
	} else {
		err = playSeeds(ctx, soak.Options{Folder: *folder, Program: *program, Workers: *workers}, *first, *seeds)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "cairnlift-soak:", err)
		os.Exit(1)
	}
}

func runWorker(ctx context.Context, text string) error {
	var s platformtest.WorkerSettings
	if err := json.Unmarshal([]byte(text), &s); err != nil {
		return errors.Wrap(err, "settings")
	}
	return platformtest.RunWorker(ctx, s, os.Stdout)
}

// addressNumbers is how many values a number of an address has for networks.
const addressNumbers = 250

func playSeeds(ctx context.Context, o soak.Options, first, seeds uint64) error {
	self, err := os.Executable()
	if err != nil {
		return errors.Wrap(err, "own path")
	}
	o.WorkerCommand = []string{self, "worker"}
	under, broken := o.Folder, 0
	for seed := first; seed < first+seeds && ctx.Err() == nil; seed++ {
		o.Folder = filepath.Join(under, fmt.Sprintf("seed-%d", seed))
		o.Network = fmt.Sprintf("%d.%d", 1+os.Getpid()%addressNumbers, 1+seed%addressNumbers)
		found, err := soak.PlayLives(ctx, o, seed, os.Stdout)
		if err != nil {
			return err
		}
		broken += found
	}
	if broken > 0 {
		return errors.Newf("%d findings", broken)
	}
	return nil
}
