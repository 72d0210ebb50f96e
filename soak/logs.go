package soak

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// logLine holds the fields of a log line of a cairnlift process that the checker reads.
type logLine struct {
	At      time.Time           `json:"ts"`
	Message string              `json:"msg"`
	Process string              `json:"process"`
	Reason  string              `json:"reason"`
	Worker  string              `json:"worker"`
	Error   string              `json:"error"`
	Lost    map[string][]string `json:"lost"`
	Waits   map[string][]string `json:"waits"`
}

// The log messages that the checker reads.
const (
	messageLost  = "runs are lost"
	messageWaits = "tasks wait"
	messageLeads = "Leadership changed."
)

// readLogs reads the log lines in the files that match a pattern, in order of time.
func readLogs(folder, pattern string) ([]logLine, error) {
	paths, err := filepath.Glob(filepath.Join(folder, pattern))
	if err != nil {
		return nil, errors.Wrap(err, "logs")
	}
	var lines []logLine
	for _, path := range paths {
		data, err := os.ReadFile(path)
		if err != nil {
			return nil, errors.Wrap(err, "logs")
		}
		for text := range bytes.Lines(data) {
			var l logLine
			if json.Unmarshal(text, &l) == nil {
				lines = append(lines, l)
			}
		}
	}
	slices.SortStableFunc(lines, func(a, b logLine) int { return a.At.Compare(b.At) })
	return lines, nil
}

// leadershipChanges returns the changes of leadership as faults, since no plan causes them directly.
func leadershipChanges(leader []logLine) []fault {
	var changes []fault
	for _, l := range leader {
		if l.Message == messageLeads {
			changes = append(changes, fault{AtMicros: l.At.UnixMicro(), Process: l.Process, What: "leads or not any more"})
		}
	}
	return changes
}

// maxLogDelay is how long after an event its log line may be written, because waits are logged in batches.
const maxLogDelay = 1200 * time.Millisecond

// linesBetween returns the lines between two moments.
func linesBetween(lines []logLine, from, to time.Time) []logLine {
	var list []logLine
	for _, l := range lines {
		if l.At.After(from) && l.At.Before(to) {
			list = append(list, l)
		}
	}
	return list
}

// logTaskName returns a task's name as it appears in logs.
func logTaskName(task string) string { return strings.ReplaceAll(task, ".", "/") }

// leaderEvents describes, from the leader's log lines, when a gap's task was declared lost and why it waited.
func leaderEvents(leader []logLine, g gap) string {
	name := logTaskName(g.task)
	step := name[:strings.LastIndexByte(name, '/')]
	var events []string
	for _, l := range linesBetween(leader, g.from, g.to.Add(maxLogDelay)) {
		since := l.At.Sub(g.from).Seconds()
		switch l.Message {
		case messageLost:
			if keyOfEntry(l.Lost, name) != "" {
				events = append(events, fmt.Sprintf("%+.2f lost (%s)", since, l.Reason))
			}
		case messageWaits:
			if reason := keyOfEntry(l.Waits, step); reason != "" {
				events = append(events, fmt.Sprintf("%+.2f waits (%s)", since, reason))
			}
		}
	}
	return strings.Join(events, ", ")
}

// keyOfEntry returns a key whose list has an entry for a name, or "" if there is none.
func keyOfEntry(lists map[string][]string, name string) string {
	for key, list := range lists {
		for _, entry := range list {
			if strings.HasPrefix(entry, name+" ") {
				return key
			}
		}
	}
	return ""
}

// agentLines formats the log lines of an agent around a gap, without consecutive repetitions.
func agentLines(agent []logLine, g gap) string {
	var b strings.Builder
	last := ""
	for _, l := range linesBetween(agent, g.from.Add(-faultsShownBefore), g.to) {
		text := fmt.Sprintf("%s %s %s", l.Message, l.Worker, l.Error)
		if text != last && l.Message != "start answered" {
			fmt.Fprintf(&b, "        %+.3f %s\n", l.At.Sub(g.from).Seconds(), text)
		}
		last = text
	}
	return b.String()
}
