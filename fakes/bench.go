package fakes

import (
	"context"
	"fmt"
	"io"
	"time"
)

// BenchConfig compares callers that reach a target through the system with the
// same callers straight at the target.
type BenchConfig struct {
	Direct  string
	Through string
	Path    string
	// InFlight are the numbers of callers to compare at.
	InFlight []int
	// Duration of each measurement, and Warmup before it, whose calls don't count.
	Duration time.Duration
	Warmup   time.Duration
	Rounds   int
	// Processes are the programs on the path, by name, whose processor time is
	// measured.
	Processes   map[string]int
	AnswerBytes int
}

// BenchRow is one comparison. Each side is the round of middle throughput.
type BenchRow struct {
	// Load names the load: callers in flight, or calls a second.
	Load            string
	Direct, Through CallSummary
	// ProcessorTimePerCall is each process's processor time per call through the system, over all
	// rounds. It depends little on what else the machine does.
	ProcessorTimePerCall map[string]time.Duration
}

// Bench measures at each number of callers, then at an open loop of half the
// best throughput through the system.
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

// compare alternates between both ways, so that a change of the machine's other
// load meets both.
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

// processorTimes returns the processor time of each process; one that has ended is left out.
func (cfg BenchConfig) processorTimes() map[string]time.Duration {
	spent := map[string]time.Duration{}
	for name, pid := range cfg.Processes {
		if t, err := processorTime(pid); err == nil {
			spent[name] = t
		}
	}
	return spent
}

func (cfg BenchConfig) measure(ctx context.Context, address string, load CallerConfig) CallSummary {
	load.Name = "bench"
	load.Path = cfg.Path
	load.Entries = []EntryAddress{{Address: address}}
	load.AnswerBytes = cfg.AnswerBytes
	load.SummaryOnly = true
	load.Warmup = cfg.Warmup
	load.Duration = cfg.Warmup + cfg.Duration
	record, _ := NewRecorder[CallRecord]("") // without a file there is nothing to fail
	return NewCaller(load, record).Run(ctx)
}

// medianThroughput returns the summary of median throughput.
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

// WriteBench writes rows as a table in Markdown.
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

// formatOverhead gives a latency's excess as a difference and a ratio.
func formatOverhead(through, direct time.Duration) string {
	return fmt.Sprintf("%v (%.2fx)", through-direct, float64(through)/float64(max(direct, 1)))
}
