// Package chaos runs randomly generated scripts in the language of package scenario. A
// script injects random faults at random times, several at once, then ends all of them
// and checks the records.
//
// A seed always generates the same script, but its effect also depends on the timing of
// the processes on the machine.
package chaos

import (
	"context"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/cairnlift/cairnlift/agent"
	"github.com/cairnlift/cairnlift/cli"
	"github.com/cairnlift/cairnlift/entry"
	"github.com/cairnlift/cairnlift/fakes/fakecmd"
	"github.com/cairnlift/cairnlift/scenario"
)

var (
	seeds = flag.Int("chaos.seeds", 4, "number of seeds to run")
	first = flag.Int64("chaos.first", 1, "first seed")
)

func TestMain(m *testing.M) {
	programs := map[string]func(){}
	for name, main := range map[string]func([]string) int{
		"cairnlift":       func(args []string) int { return cli.New().Run(context.Background(), args) },
		"cairnlift-agent": agent.Main,
		"cairnlift-entry": entry.Main,
		"cairnlift-fake":  fakecmd.Main,
	} {
		programs[name] = func() { os.Exit(main(os.Args[1:])) }
	}
	testscript.Main(m, programs)
}

// TestChaos guards against violations of the system's guarantees by combinations of faults
// that no handwritten scenario covers. Hosts are killed, frozen, cut off, shut down and
// lose their disks, workers shrink and fail, replies are lost, and operators submit
// concurrently, cancel and drain, in an order drawn from a seed.
func TestChaos(t *testing.T) {
	dir := t.TempDir()
	var files []string
	for seed := *first; seed < *first+int64(*seeds); seed++ {
		file := filepath.Join(dir, fmt.Sprintf("seed-%d.txtar", seed))
		if err := os.WriteFile(file, generate(seed), 0o644); err != nil {
			t.Fatal(err)
		}
		files = append(files, file)
	}
	testscript.Run(t, testscript.Params{
		Files:               files,
		Setup:               scenario.Setup,
		Cmds:                scenario.Commands(),
		RequireExplicitExec: true,
	})
}
