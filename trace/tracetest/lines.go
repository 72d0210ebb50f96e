// Package tracetest makes log lines for tests.
package tracetest

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cairnlift/cairnlift/trace"
)

// Start is when the lines begin, by true time.
var Start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Lines reads the lines of a process whose clock is off; each is a time in milliseconds and
// the rest of the JSON object. What is no log line stands between them, as in collected logs.
func Lines(t testing.TB, process string, off time.Duration, lines ...string) []trace.Line {
	t.Helper()
	var text strings.Builder
	for _, l := range lines {
		ms, rest, found := strings.Cut(l, " ")
		after, err := time.ParseDuration(ms + "ms")
		if err != nil || !found {
			t.Fatalf("line %q: %v", l, err)
		}
		at := Start.Add(after + off).Format(time.RFC3339Nano)
		fmt.Fprintf(&text, "12.5 %s {\"level\":\"info\",\"ts\":%q,\"process\":%q,%s}\n", process, at, process, rest)
	}
	read, err := trace.Read(strings.NewReader("no log line\n{broken\n"+text.String()), "file")
	if err != nil {
		t.Fatal(err)
	}
	return read
}
