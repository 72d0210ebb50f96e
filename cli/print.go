package cli

import (
	"fmt"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cairnlift/cairnlift/admin"
)

const (
	milliPerUnit     = 1000
	bytesPerGigabyte = 1e9
	columnPadding    = 2
)

// printTable prints a header and rows in aligned columns. It prints nothing if there are no rows.
func (a *App) printTable(header string, rows []string) {
	if len(rows) == 0 {
		return
	}
	w := tabwriter.NewWriter(a.Stdout, 0, 0, columnPadding, ' ', 0)
	for _, line := range append([]string{header}, rows...) {
		_, _ = fmt.Fprintln(w, line) // a failed write can't be reported
	}
	_ = w.Flush()
}

// joinCells formats the cells of one table row, separated by tabs.
func joinCells(cells ...any) string {
	texts := make([]string, len(cells))
	for i, c := range cells {
		texts[i] = fmt.Sprint(c)
	}
	return strings.Join(texts, "\t")
}

// formatRows returns one table row per item.
func formatRows[T any](items []T, cells func(T) string) []string {
	out := make([]string, len(items))
	for i, item := range items {
		out[i] = cells(item)
	}
	return out
}

func (a *App) printStatus(s *admin.Status) {
	a.printf("version %d, %s; leader %s, term %d, index %d; seen by %s\n",
		s.ConfigurationVersion, confirmationText(s.ConfirmedAgeMs), orDash(s.Leader), s.Term, s.Index, s.Entry)
	if len(s.CordonedZones) > 0 {
		a.printf("cordoned availability zones, in which nothing starts: %s\n", strings.Join(s.CordonedZones, ", "))
	}
	if len(s.HeldQueues) > 0 {
		a.printf("held queues, of which nothing starts: %s\n", strings.Join(s.HeldQueues, ", "))
	}
	if len(s.PrioritizedJobs) > 0 {
		a.printf("prioritized jobs: %s\n", strings.Join(s.PrioritizedJobs, ", "))
	}
	a.printProcesses(s.Processes)
	a.printTable(joinCells("WORKER", "ZONE", "RACK", "GRANTED+RESERVED/CAPACITY", "TASKS", "STATE"), formatRows(s.Workers, workerRow))
	a.printTable(joinCells("TARGET", "SERVICE", "AGENT", "ZONE", "IN FLIGHT/SLOTS", "STATE"), formatRows(s.Targets, targetRow))
	a.printTable(joinCells("JOB", "TEAM", "PRIORITY", "QUEUED", "RUNNING", "STOPPING", "SUCCEEDED", "FAILED", "CANCELED", "WAITS FOR"), formatRows(s.Jobs, jobRow))
}

func confirmationText(ageMs int64) string {
	if ageMs < 0 {
		return "never confirmed"
	}
	return fmt.Sprintf("confirmed %v ago", time.Duration(ageMs)*time.Millisecond)
}

func (a *App) printProcesses(processes []admin.Process) {
	a.printTable(joinCells("PROCESS", "ROLE", "ADDRESS", "ZONE", "VERSION", "STATE", "HEARD"), formatRows(processes, func(p admin.Process) string {
		state := stateText(stateFlag{p.Leaving, "leaving"}, stateFlag{!p.Ready, "not ready"})
		heard := time.Duration(p.LastHeardMs) * time.Millisecond
		return joinCells(p.Name, p.Role, p.Address, p.AvailabilityZone, p.ConfigurationVersion, state, heard)
	}))
}

func workerRow(w admin.Worker) string {
	state := stateText(stateFlag{!w.Alive, "lost"}, stateFlag{w.Draining, "draining"}, stateFlag{w.Cordoned, "cordoned"}, stateFlag{w.Quarantined != "", "quarantined: " + w.Quarantined})
	use := fmt.Sprintf("%s+%s/%s", resourcesText(w.Granted), resourcesText(w.Reserved), resourcesText(w.Capacity))
	return joinCells(w.Name, w.AvailabilityZone, w.Rack, use, w.Tasks, state)
}

func targetRow(t admin.Target) string {
	load := fmt.Sprintf("%d/%d", t.InFlight, t.Slots)
	return joinCells(t.Name, t.Service, t.Agent, t.AvailabilityZone, load, stateText(stateFlag{t.Leaving, "leaving"}))
}

func jobRow(j admin.Job) string {
	return joinCells(j.Name, orDash(j.Team), j.Priority, j.Queued, j.Running, j.Stopping, j.Succeeded, j.Failed, j.Canceled, orDash(j.WaitsFor))
}

type stateFlag struct {
	set  bool
	name string
}

// stateText lists the names of the flags that are set, or returns ok if none is.
func stateText(flags ...stateFlag) string {
	var names []string
	for _, f := range flags {
		if f.set {
			names = append(names, f.name)
		}
	}
	if len(names) == 0 {
		return "ok"
	}
	return strings.Join(names, ", ")
}

// resourcesText formats resources as processors:gigabytes:accelerators.
func resourcesText(r admin.Resources) string {
	return fmt.Sprintf("%g:%.1fG:%d", float64(r.MilliProcessors)/milliPerUnit, float64(r.MemoryBytes)/bytesPerGigabyte, r.Accelerators)
}

func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

func (a *App) printExplanation(e *admin.Explanation) {
	a.printTable(joinCells("JOB", "TEAM", "PRIORITY", "QUEUED", "RUNNING", "STOPPING", "SUCCEEDED", "FAILED", "CANCELED", "WAITS FOR"), []string{jobRow(e.Job)})
	for _, reason := range e.Reasons {
		a.printf("%s\n", reason)
	}
	for _, t := range e.Tasks {
		a.printTaskExplanation(t)
	}
	if e.TasksLeftOut > 0 {
		a.printf("%d more tasks are not listed\n", e.TasksLeftOut)
	}
}

func (a *App) printTaskExplanation(t admin.TaskExplanation) {
	a.printf("%s: %s, attempt %d, worker %s, %d failures, %d evictions\n", t.Task, t.State, t.Attempt, orDash(t.Worker), t.Failures, t.Evictions)
	if t.Reason != "" {
		a.printf("    %s\n", t.Reason)
	}
	if t.NotBeforeMs > 0 {
		a.printf("    not before %s\n", time.UnixMilli(t.NotBeforeMs).Format(time.RFC3339))
	}
	if len(t.FailedWorkers) > 0 {
		a.printf("    failed on %s\n", strings.Join(t.FailedWorkers, ", "))
	}
	var filters []string
	for name := range t.Refused {
		filters = append(filters, name)
	}
	slices.Sort(filters)
	for _, name := range filters {
		a.printf("    filter %s refused %d workers\n", name, t.Refused[name])
	}
	for _, r := range t.Rejections {
		a.printf("    %s: %s: %s\n", r.Worker, r.Filter, r.Reason)
	}
}

func (a *App) printMembers(l *admin.MemberList) {
	a.printf("term %d, commit %d\n", l.Term, l.Commit)
	a.printTable(joinCells("MEMBER", "ROLE", "ADDRESS", "ID", "MATCH"), formatRows(l.Members, func(m admin.Member) string {
		return joinCells(m.Name, orDash(m.Role), m.Address, fmt.Sprintf("%x", m.ID), m.Match)
	}))
}

func (a *App) printDecisions(decisions []admin.Decision) {
	a.printTable(joinCells("TIME", "PART", "SUBJECT", "ATTEMPT", "CHOSEN", "CANDIDATES", "REASON"), formatRows(decisions, func(d admin.Decision) string {
		at := time.UnixMilli(d.TimeMs).UTC().Format("15:04:05.000")
		return joinCells(at, d.Part, d.Subject, d.Attempt, orDash(d.Chosen), d.Candidates, d.Reason)
	}))
}
