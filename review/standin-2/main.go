// Command standin-2 plays the cases of the second review: it starts the project's own programs as
// processes on loopback addresses, with small stand-ins for runners, clients, the operator and the
// platform, and checks one rule.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// The exit codes of a case.
const (
	exitHeld      = 0
	exitBroken    = 1
	exitCouldNot  = 2
	troubleOffEnv = "0"
)

type caseFunc func(d *deployment, trouble bool) (broken bool, err error)

var cases = map[string]caseFunc{
	"removed-route": playRemovedRoute,
	"pending":       playPending,
	"foreign-entry": playForeignEntry,
	"foreign-id":    playForeignDeparture,
	"foreign-beat":  playForeignHeartbeat,
}

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: review-2 CASE PROGRAM RECORD")
		os.Exit(exitCouldNot)
	}
	os.Exit(play(os.Args[1], os.Args[2], os.Args[3]))
}

func play(name, program, recordPath string) int {
	f := cases[name]
	rec, err := newRecord(recordPath)
	if err != nil || f == nil {
		fmt.Fprintln(os.Stderr, "can't play", name, err)
		return exitCouldNot
	}
	defer rec.close()
	program, err = filepath.Abs(program)
	if err != nil {
		rec.printf("%v", err)
		return exitCouldNot
	}
	d, err := newDeployment(program, rec)
	if err != nil {
		rec.printf("the case couldn't run: %v", err)
		return exitCouldNot
	}
	defer d.close()
	trouble := os.Getenv("TROUBLE") != troubleOffEnv
	rec.printf("case %s, trouble %v", name, trouble)
	broken, err := f(d, trouble)
	switch {
	case err != nil:
		rec.printf("the case couldn't run: %v", err)
		return exitCouldNot
	case broken:
		rec.printf("RESULT: the rule was broken")
		return exitBroken
	}
	rec.printf("RESULT: the rule held")
	return exitHeld
}
