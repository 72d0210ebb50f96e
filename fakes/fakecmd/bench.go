package fakecmd

import (
	"context"
	"os"
	"strconv"
	"strings"

	"github.com/alecthomas/kingpin/v2"
	"github.com/cockroachdb/errors"

	"github.com/cairnlift/cairnlift/fakes"
)

func registerBench(app *kingpin.Application) (string, action) {
	c := app.Command("bench", "Compare calls through an entry with the same calls made directly to a target.")
	cfg := &fakes.BenchConfig{Processes: map[string]int{}}
	processes := map[string]string{}
	c.Flag("direct", "Address of the target.").Required().StringVar(&cfg.Direct)
	c.Flag("through", "Address of the entry.").Required().StringVar(&cfg.Through)
	c.Flag("path", "Path of the service.").Required().StringVar(&cfg.Path)
	c.Flag("duration", "Length of each measurement.").Default("5s").DurationVar(&cfg.Duration)
	c.Flag("warmup", "Time before each measurement, which is not counted.").Default("1s").DurationVar(&cfg.Warmup)
	c.Flag("rounds", "Measurements of each kind; the one with the median throughput is shown.").Default("3").IntVar(&cfg.Rounds)
	c.Flag("answer-bytes", "Minimum length of answers.").Default("256").IntVar(&cfg.AnswerBytes)
	c.Flag("process", "NAME=PID of a process on the path whose processor time is measured.").StringMapVar(&processes)
	inFlight := c.Flag("in-flight", "Numbers of concurrent callers, separated by commas.").Default("1,32,256").String()
	return c.FullCommand(), func(ctx context.Context) error {
		for _, text := range strings.Split(*inFlight, ",") {
			n, err := strconv.Atoi(text)
			if err != nil {
				return errors.Wrap(err, "in-flight")
			}
			cfg.InFlight = append(cfg.InFlight, n)
		}
		for name, text := range processes {
			pid, err := strconv.Atoi(text)
			if err != nil {
				return errors.Wrap(err, "process")
			}
			cfg.Processes[name] = pid
		}
		fakes.WriteBench(os.Stdout, fakes.Bench(ctx, *cfg))
		return nil
	}
}
