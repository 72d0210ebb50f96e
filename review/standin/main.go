// Command standin starts a deployment of real processes on loopback addresses and plays the cases of the
// review with it.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/cairnlift/cairnlift/platform/platformtest"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

func main() {
	if len(os.Args) == 3 {
		runWorker(os.Args[1], os.Args[2])
		return
	}
	if len(os.Args) != 5 {
		fmt.Fprintln(os.Stderr, "usage: standin CASE PROGRAM FOLDER RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(play(os.Args[1], os.Args[2], os.Args[3], os.Args[4]))
}

// play plays a case and returns its exit code.
func play(name, program, folder, recordPath string) int {
	r, err := newRecord(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	workers := 4
	if name == "leaving" {
		workers = leavingRunners
	}
	d, err := newDeployment(folder, program, workers, r)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer d.killAll()
	trouble := os.Getenv("TROUBLE") != "0"
	code := exitNotRun
	switch name {
	case "seeds":
		code = playSeeds(d, trouble)
	case "leaving":
		code = playLeaving(d, trouble)
	case "replaced":
		code = playReplaced(d, trouble)
	}
	r.add("exit code %d", code)
	return code
}

// runWorker runs a stand-in for a runner: the project's own, or one that leaves starts without an answer.
func runWorker(kind, text string) {
	var s platformtest.WorkerSettings
	if err := json.Unmarshal([]byte(text), &s); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	if kind == "runner" {
		fmt.Fprintln(os.Stderr, runRunner(s))
		os.Exit(exitNotRun)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	if err := platformtest.RunWorker(ctx, s, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitBroken)
	}
}
