package cli

import (
	"context"
	"fmt"
	"io"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/alecthomas/kingpin/v2"
	"github.com/cockroachdb/errors"

	"github.com/cairnlift/cairnlift/trace"
)

// addTraceCommand adds the command that prints a timeline from logs. It reads files only and needs
// no entry.
func (a *App) addTraceCommand() {
	a.Command(a.Root(), "trace", "Print the log lines about a job or request as one timeline.", a.trace)
}

func (a *App) trace(c *kingpin.CmdClause) Runner {
	id := c.Arg("id", "Id of the job or request.").Required().String()
	files := c.Arg("file", "Log files, each of one or several processes; standard input if none is given.").Strings()
	return func(context.Context) error {
		lines, err := readLogs(*files)
		if err != nil {
			return err
		}
		selected := trace.Select(lines, *id)
		if len(selected) == 0 {
			return errors.Newf("no line is about %s", *id)
		}
		a.printTimeline(trace.Order(selected))
		return nil
	}
}

func readLogs(files []string) ([]trace.Line, error) {
	if len(files) == 0 {
		return trace.Read(os.Stdin, "stdin")
	}
	var all []trace.Line
	for _, name := range files {
		lines, err := readLog(name)
		if err != nil {
			return nil, err
		}
		all = append(all, lines...)
	}
	return all, nil
}

func readLog(name string) ([]trace.Line, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, errors.Wrap(err, "the log can't be read")
	}
	defer func() { _ = f.Close() }() // opened for reading only
	return trace.Read(io.Reader(f), filepath.Base(name))
}

// printTimeline prints the clock corrections, and for each line the seconds since the first line, the
// process, part, event and fields.
func (a *App) printTimeline(t trace.Timeline) {
	for _, s := range t.Shifts {
		a.printf("# the clock of %s is moved by %v to agree with the others\n", s.Process, s.By)
	}
	start := t.Lines[0].At
	a.printf("# seconds since %s\n", start.Format("2006-01-02T15:04:05.000Z07:00"))
	for _, l := range t.Lines {
		a.printf("%9.3f  %-28s %-10s %s%s\n", l.At.Sub(start).Seconds(), l.Process, l.Part, l.Event, fieldsText(l))
	}
}

func fieldsText(l trace.Line) string {
	var b strings.Builder
	if l.Deposed {
		b.WriteString("  (leader was deposed)")
	}
	for _, name := range slices.Sorted(maps.Keys(l.Fields)) {
		fmt.Fprintf(&b, "  %s=%v", name, l.Fields[name])
	}
	return b.String()
}
