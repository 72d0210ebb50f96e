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

	"github.com/cairnlift/cairnlift/platform"
	"github.com/cairnlift/cairnlift/platform/platformtest"
	"github.com/cairnlift/cairnlift/soak"
)

// programArgument stands before the words of cairnlift-platform.
const programArgument = "program"

func main() {
	if len(os.Args) > 1 && os.Args[1] == programArgument {
		os.Exit(platform.Main(os.Args[2:]))
	}
	app := kingpin.New("cairnlift-soak", "Plays real processes under faults.")
	lives := app.Command("lives", "Workers die and come back under their ids.")
	first := lives.Flag("first", "First seed.").Default("1").Uint64()
	seeds := lives.Flag("seeds", "How many seeds.").Default("1").Uint64()
	folder := lives.Flag("folder", "Folder of the plays.").Required().String()
	program := lives.Flag("program", "Absolute path of cairnlift-platform; the one in this program when empty.").String()
	workers := lives.Flag("workers", "How many workers.").Default("8").Int()
	controls := lives.Flag("controls", "How many control hosts, an odd number.").Default("3").Int()
	disks := lives.Flag("disks", "Folder of the control hosts' disks, such as one in memory; the play's own when empty.").String()
	agents := lives.Flag("agents", "Kill and pause agents, too.").Default("true").Bool()
	fronts := lives.Flag("fronts", "Kill, pause and terminate control hosts and entries, too.").Bool()
	links := lives.Flag("links", "Disturb connections between agents and workers, too.").Bool()
	outages := lives.Flag("outages", "Cut the power of all but the workers, empty disks, and keep links dark until leases run out.").Bool()
	configurations := lives.Flag("configurations", "Change and read the configuration all the while.").Bool()
	callers := lives.Flag("callers", "Have callers cancel, give up and send again.").Bool()
	failing := lives.Flag("failing", "Have most batch runs fail.").Bool()
	sick := lives.Flag("sick", "Have some workers come back sick.").Bool()
	uneven := lives.Flag("uneven", "Hold processes up for moments now and then.").Bool()
	plan := lives.Flag("plan", "File with the faults, in the form of a play's plan.txt, instead of drawn ones.").String()
	batch := lives.Flag("batch", "How much batch work comes, against what the lasting tasks leave; drawn when 0.").Float64()
	judge := app.Command("judge", "Judges plays again.")
	played := judge.Arg("folders", "Folders of the plays.").Required().Strings()
	worker := app.Command("worker", "Stands in for the platform's worker.").Hidden()
	settings := worker.Arg("settings", "Settings as JSON.").Required().String()
	chosen := kingpin.MustParse(app.Parse(os.Args[1:]))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	var err error
	switch chosen {
	case worker.FullCommand():
		err = runWorker(ctx, *settings)
	case judge.FullCommand():
		err = checkFolders(*played)
	default:
		o := soak.Options{Folder: *folder, Workers: *workers, Controls: *controls, Disks: *disks}
		if *program != "" {
			o.Program = []string{*program}
		}
		p := soak.Profile{Agents: *agents, Fronts: *fronts, Links: *links, Outages: *outages, Configurations: *configurations, Callers: *callers, Failing: *failing, Sick: *sick, Uneven: *uneven, BatchShare: *batch}
		if p.Plan, err = readPlan(*plan); err == nil {
			err = runSeeds(ctx, o, p, *first, *seeds)
		}
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

func readPlan(path string) (string, error) {
	if path == "" {
		return "", nil
	}
	text, err := os.ReadFile(path)
	return string(text), errors.Wrap(err, "plan")
}

// networkNumbers is how many values a number of an address has for networks.
const networkNumbers = 250

func runSeeds(ctx context.Context, o soak.Options, p soak.Profile, first, seeds uint64) error {
	self, err := os.Executable()
	if err != nil {
		return errors.Wrap(err, "own path")
	}
	o.Worker = []string{self, "worker"}
	if o.Program == nil {
		o.Program = []string{self, programArgument}
	}
	under, disks, findings := o.Folder, o.Disks, []error{}
	for seed := first; seed < first+seeds && ctx.Err() == nil; seed++ {
		o.Folder = filepath.Join(under, fmt.Sprintf("seed-%d", seed))
		if disks != "" {
			o.Disks = filepath.Join(disks, fmt.Sprintf("seed-%d-%d", seed, os.Getpid()))
		}
		o.Network = fmt.Sprintf("%d.%d", 1+os.Getpid()%networkNumbers, 1+seed%networkNumbers)
		if err := soak.Run(ctx, o, p, seed); err != nil {
			return err
		}
		if err := checkFolder(o.Folder); err != nil {
			findings = append(findings, err)
		}
	}
	return errors.Join(findings...)
}

func checkFolders(folders []string) error {
	var findings []error
	for _, folder := range folders {
		if err := checkFolder(folder); err != nil {
			findings = append(findings, err)
		}
	}
	return errors.Join(findings...)
}

func checkFolder(folder string) error {
	found, err := soak.Check(folder, os.Stdout)
	if err == nil && found > 0 {
		err = errors.Newf("%d findings in %s", found, folder)
	}
	return err
}
