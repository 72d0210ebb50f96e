package fakes

import (
	"context"
	"fmt"
	"io"
	"time"
)

// BenchConfig describes a comparison of callers that reach a target through the system
// with the same callers connected directly to the target.
type BenchConfig struct {
	Direct  string
	Through string
	Path    string
	// InFlight lists the numbers of concurrent callers to measure.
	InFlight []int
	// Duration is the length of each measurement. Warmup precedes it; its calls are not
	// counted.
	Duration time.Duration
	Warmup   time.Duration
	Rounds   int
	// Processes maps the name of each program on the path to the id of the process whose
	// processor time is measured.
	Processes   map[string]int
	AnswerBytes int
}

// BenchRow is one comparison. Direct and Through each come from the round with the
// median throughput.
type BenchRow struct {
	// Load describes the load: the callers in flight or the calls per second.
	Load            string
	Direct, Through CallSummary
	// ProcessorTimePerCall is each process's processor time per call through the system,
	// over all rounds. Other load on the machine affects it little.
	ProcessorTimePerCall map[string]time.Duration
}

// Bench measures a closed loop at each number of callers, then an open loop at half the
// highest throughput reached through the system.
func Bench(ctx context.Context, cfg BenchConfig) []BenchRow {
	var rows []BenchRow
	best := 0.0
	for _, n := range cfg.InFlight {
		row := cfg.compare(ctx, CallerConfig{InFlight: n})
		row.Load = fmt.Sprintf("%d in flight", n)
		best = max(best, row.Through.PerSecond)
		rows = append(rows, row)
	}
	half := cfg.compare(ctx, CallerConfig{Rate: best / 2})
	half.Load = fmt.Sprintf("%.0f/s offered (half load)", best/2)
	return append(rows, half)
}

// compare alternates between the direct path and the path through the system, so that a
// change of other load on the machine affects both.
func (cfg BenchConfig) compare(ctx context.Context, load CallerConfig) BenchRow {
	var direct, through []CallSummary
	calls := 0
	spent := map[string]time.Duration{}
	for round := range max(cfg.Rounds, 1) {
		load.Seed = int64(round)
		direct = append(direct, cfg.measure(ctx, cfg.Direct, load))
		before := cfg.processorTimes()
		through = append(through, cfg.measure(ctx, cfg.Through, load))
		calls += through[round].Started
		for name, t := range cfg.processorTimes() {
			spent[name] += t - before[name]
		}
	}
	for name := range spent {
		spent[name] /= time.Duration(max(calls, 1))
	}
	return BenchRow{Direct: medianThroughput(direct), Through: medianThroughput(through), ProcessorTimePerCall: spent}
}

// processorTimes returns the processor time of each process, without those that have exited.
func (cfg BenchConfig) processorTimes() map[string]time.Duration {
	times := map[string]time.Duration{}
	for name, pid := range cfg.Processes {
		if t, err := processorTime(pid); err == nil {
			times[name] = t
		}
	}
	return times
}

func (cfg BenchConfig) measure(ctx context.Context, address string, load CallerConfig) CallSummary {
	load.Name = "bench"
	load.Path = cfg.Path
	load.Entries = []EntryAddress{{Address: address}}
	load.AnswerBytes = cfg.AnswerBytes
	load.SummaryOnly = true
	load.Warmup = cfg.Warmup
	load.Duration = cfg.Warmup + cfg.Duration
	record, _ := NewRecorder[CallRecord]("") // Cannot fail without a file.
	return NewCaller(load, record).Run(ctx)
}

// medianThroughput returns the summary with the median throughput.
func medianThroughput(all []CallSummary) CallSummary {
	for _, s := range all {
		below := 0
		for _, other := range all {
			if other.PerSecond < s.PerSecond {
				below++
			}
		}
		if below == (len(all)-1)/2 {
			return s
		}
	}
	return all[0]
}

// WriteBench writes rows as a Markdown table.
func WriteBench(w io.Writer, rows []BenchRow) {
	fmt.Fprintln(w, "| load | way | requests/s | p50 | p99 | p99.9 | outcomes or processor time per call |")
	fmt.Fprintln(w, "|---|---|---:|---:|---:|---:|---|")
	for _, r := range rows {
		writeMeasurement(w, r.Load, "direct", r.Direct)
		writeMeasurement(w, r.Load, "through", r.Through)
		fmt.Fprintf(w, "| %s | overhead | %.2fx | %s | %s | %s | %v |\n", r.Load,
			r.Through.PerSecond/r.Direct.PerSecond,
			formatOverhead(r.Through.P50, r.Direct.P50),
			formatOverhead(r.Through.P99, r.Direct.P99),
			formatOverhead(r.Through.P999, r.Direct.P999), r.ProcessorTimePerCall)
	}
}

func writeMeasurement(w io.Writer, load, way string, s CallSummary) {
	fmt.Fprintf(w, "| %s | %s | %.0f | %v | %v | %v | %v |\n", load, way, s.PerSecond, s.P50, s.P99, s.P999, s.Outcomes)
}

// formatOverhead returns the difference and the ratio between two latencies.
func formatOverhead(through, direct time.Duration) string {
	return fmt.Sprintf("%v (%.2fx)", through-direct, float64(through)/float64(max(direct, 1)))
}
