// Package tracetest creates log lines for tests.
package tracetest

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cairnlift/cairnlift/trace"
)

// Start is the time of the first line by an accurate clock.
var Start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Lines returns the lines of a process with the given clock offset. Each argument is a time in
// milliseconds after Start and the other fields of the JSON object. They are read from a text that
// begins with other content than log lines, as collected logs contain it.
func Lines(t testing.TB, process string, clockOffset time.Duration, lines ...string) []trace.Line {
	t.Helper()
	var text strings.Builder
	for _, l := range lines {
		ms, rest, found := strings.Cut(l, " ")
		after, err := time.ParseDuration(ms + "ms")
		if err != nil || !found {
			t.Fatalf("line %q: %v", l, err)
		}
		at := Start.Add(after + clockOffset).Format(time.RFC3339Nano)
		fmt.Fprintf(&text, "12.5 %s {\"level\":\"info\",\"ts\":%q,\"process\":%q,%s}\n", process, at, process, rest)
	}
	read, err := trace.Read(strings.NewReader("no log line\n{broken\n"+text.String()), "file")
	if err != nil {
		t.Fatal(err)
	}
	return read
}
