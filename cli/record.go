package cli

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/cairnlift/cairnlift/record"
	"github.com/cairnlift/cairnlift/trace"
)

// addRecordCommand adds the command that summarizes logs. It reads files only and needs no entry.
func (a *App) addRecordCommand() {
	a.Command(a.Root(), "record", "Summarize the lost time in logs by queue, zone, interval and cause.", a.record)
}

func (a *App) record(c *kingpin.CmdClause) Runner {
	window := c.Flag("window", "Length of the windows of long-running jobs and of the table's intervals.").Default("2s").Duration()
	picture := c.Flag("picture", "Also draw the intervals into this file (.svg, .png or .pdf).").String()
	files := c.Arg("file", "Log files, each of one or several processes; standard input if none is given.").Strings()
	return func(context.Context) error {
		if *window <= 0 {
			return &usageError{"--window must be above 0"}
		}
		lines, err := readLogs(*files)
		if err != nil {
			return err
		}
		r := record.Summarize(trace.Order(lines).Lines, record.Options{Window: *window})
		a.printRecord(r)
		if *picture == "" {
			return nil
		}
		return r.Draw(*picture)
	}
}

func (a *App) printRecord(r *record.Record) {
	a.printf("%s of lines; without a leader %s\n", secondsText(r.Last.Sub(r.First)), secondsText(r.LeaderlessTime))
	a.printQueues(r)
	a.printLongRunning(r)
	a.printIntervals(r)
}

// printQueues prints the outcomes of jobs by queue, and the lost time of late jobs by cause.
func (a *App) printQueues(r *record.Record) {
	var rows []string
	for _, q := range r.Queues {
		cells := []any{q.Path, orDash(q.Zone)}
		for _, o := range record.Outcomes() {
			cells = append(cells, q.Outcomes[o])
		}
		cells = append(cells, q.Canceled, q.Refused, costsText(q.LateBreakdown))
		rows = append(rows, joinCells(cells...))
	}
	a.printTable(joinCells("QUEUE", "ZONE", "IN TIME", "LATE", "FAILED", "OPEN", "CANCELED", "REFUSED", "SECONDS OF THE LATE ONES, BY CAUSE"), rows)
}

// printLongRunning prints the windows and the time that long-running jobs lost.
func (a *App) printLongRunning(r *record.Record) {
	var rows []string
	for _, l := range r.LongRunning {
		var lost []string
		for _, c := range record.Causes() {
			if l.LostWindows[c] > 0 {
				lost = append(lost, fmt.Sprintf("%v %d", c, l.LostWindows[c]))
			}
		}
		rows = append(rows, joinCells(l.Path, orDash(l.Zone), l.Windows, orDash(strings.Join(lost, ", ")), costsText(l.Breakdown)))
	}
	a.printTable(joinCells("LONG-RUNNING", "ZONE", "WINDOWS", "HALF OR MORE LOST", "SECONDS OF ITS TASKS, BY CAUSE"), rows)
}

// printIntervals prints the intervals of the record with their jobs, lost windows and events.
func (a *App) printIntervals(r *record.Record) {
	var rows []string
	for _, i := range r.Intervals {
		rows = append(rows, joinCells(secondsText(i.From.Sub(r.First)), i.Submitted, i.Finished[record.InTime], i.Finished[record.Late], i.Finished[record.FailedJob],
			countsText(i.LostWindows[:]), countsText(i.Events[:])))
	}
	a.printTable(joinCells("AT", "HANDED IN", "IN TIME", "LATE", "FAILED", "WINDOWS LOST", "SIGNS OF TROUBLE"), rows)
}

func costsText(costs record.Breakdown) string {
	var parts []string
	for _, c := range record.Causes() {
		if costs[c] >= time.Second/10 {
			parts = append(parts, fmt.Sprintf("%v %.1f", c, costs[c].Seconds()))
		}
	}
	return orDash(strings.Join(parts, ", "))
}

func countsText(counts []int) string {
	var parts []string
	for c, n := range counts {
		if n > 0 {
			parts = append(parts, fmt.Sprintf("%v %d", record.Cause(c), n))
		}
	}
	return orDash(strings.Join(parts, ", "))
}

func secondsText(d time.Duration) string { return fmt.Sprintf("%.1fs", d.Seconds()) }
