// Command cairnlift-soak runs cairnlift's roles on the users' platform as real processes, kills some of
// them, and checks the result. It is a tool for developers; no role starts it.
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

// programArgument is the first argument that makes this program run as cairnlift-platform, with the
// arguments that follow.
const programArgument = "program"

func main() {
	if len(os.Args) > 1 && os.Args[1] == programArgument {
		os.Exit(platform.Main(os.Args[2:]))
	}
	app := kingpin.New("cairnlift-soak", "Runs real processes under faults and checks the result.")
	lives := app.Command("lives", "Runs workers that die and restart under the same ids.")
	first := lives.Flag("first", "First seed.").Default("1").Uint64()
	seeds := lives.Flag("seeds", "Number of seeds.").Default("1").Uint64()
	folder := lives.Flag("folder", "Folder of the soak runs.").Required().String()
	program := lives.Flag("program", "Absolute path of cairnlift-platform; if empty, the one built into this program.").String()
	workers := lives.Flag("workers", "Number of workers.").Default("8").Int()
	controls := lives.Flag("controls", "Number of control hosts, an odd number.").Default("3").Int()
	disks := lives.Flag("disks", "Folder of the control hosts' disks, for example in memory; if empty, the folder of the soak run.").String()
	agents := lives.Flag("agents", "Also kill, pause and terminate agents.").Default("true").Bool()
	fronts := lives.Flag("fronts", "Also kill, pause and terminate control hosts and entries.").Bool()
	links := lives.Flag("links", "Also disturb connections between agents and workers.").Bool()
	outages := lives.Flag("outages", "Also cut the power of all processes except the workers, empty disks, and blackhole links until leases expire.").Bool()
	configurations := lives.Flag("configurations", "Change and read the configuration continuously.").Bool()
	cordons := lives.Flag("cordons", "Cordon the zones of the workers, one after another.").Bool()
	callers := lives.Flag("callers", "Let some callers cancel jobs, give up after refusals, and resend accepted jobs.").Bool()
	failing := lives.Flag("failing", "Let most batch runs fail.").Bool()
	sick := lives.Flag("sick", "Let some workers fail every task after a restart.").Bool()
	uneven := lives.Flag("uneven", "Pause all processes except the workers briefly, one at a time.").Bool()
	plan := lives.Flag("plan", "File with the faults, in the format of a soak run's plan.txt, instead of drawn ones.").String()
	batch := lives.Flag("batch", "Batch work as a fraction of the capacity that the long-running tasks leave; drawn if 0.").Float64()
	check := app.Command("judge", "Checks the records of soak runs again.")
	folders := check.Arg("folders", "Folders of the soak runs.").Required().Strings()
	worker := app.Command("worker", "Runs as a stand-in for the platform's worker.").Hidden()
	settings := worker.Arg("settings", "Settings as JSON.").Required().String()
	chosen := kingpin.MustParse(app.Parse(os.Args[1:]))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	var err error
	switch chosen {
	case worker.FullCommand():
		err = runWorker(ctx, *settings)
	case check.FullCommand():
		err = checkFolders(*folders)
	default:
		o := soak.Options{Folder: *folder, Workers: *workers, Controls: *controls, Disks: *disks}
		if *program != "" {
			o.Program = []string{*program}
		}
		p := soak.Profile{Agents: *agents, Fronts: *fronts, Links: *links, Outages: *outages, Configurations: *configurations, Cordons: *cordons, Callers: *callers, Failing: *failing, Sick: *sick, Uneven: *uneven, BatchShare: *batch}
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

// networkNumbers is the number of values that each of the two network numbers of an address can take.
const networkNumbers = 250

// runSeeds executes and checks one soak run per seed. Each has its own folder and network.
func runSeeds(ctx context.Context, o soak.Options, p soak.Profile, first, seeds uint64) error {
	self, err := os.Executable()
	if err != nil {
		return errors.Wrap(err, "path of this program")
	}
	o.Worker = []string{self, "worker"}
	if o.Program == nil {
		o.Program = []string{self, programArgument}
	}
	base, disks, findings := o.Folder, o.Disks, []error{}
	for seed := first; seed < first+seeds && ctx.Err() == nil; seed++ {
		o.Folder = filepath.Join(base, fmt.Sprintf("seed-%d", seed))
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
