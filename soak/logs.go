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

// logLine is a line that a process of cairnlift wrote, with what is read of it here.
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

// The messages that are read.
const (
	messageLost  = "runs are lost"
	messageWaits = "tasks wait"
	messageLeads = "Leadership changed."
)

// readLogs reads the lines of the processes whose outputs match a pattern, in order of time.
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

// leadershipChanges are the changes of leader, which nothing in a play is meant to cause.
func leadershipChanges(leader []logLine) []fault {
	var changes []fault
	for _, l := range leader {
		if l.Message == messageLeads {
			changes = append(changes, fault{AtMicros: l.At.UnixMicro(), Process: l.Process, What: "leads or not any more"})
		}
	}
	return changes
}

// maxLogDelay is how much later the lines about a moment may come: waits are gathered.
const maxLogDelay = 1200 * time.Millisecond

// linesBetween returns the lines of a time.
func linesBetween(lines []logLine, from, to time.Time) []logLine {
	var list []logLine
	for _, l := range lines {
		if l.At.After(from) && l.At.Before(to) {
			list = append(list, l)
		}
	}
	return list
}

// logTaskName is a task's name in logs.
func logTaskName(task string) string { return strings.ReplaceAll(task, ".", "/") }

// leaderEvents tells from the leader's lines when a task counted as lost and what it waited for.
func leaderEvents(leader []logLine, g gap) string {
	name := logTaskName(g.task)
	step := name[:strings.LastIndexByte(name, '/')]
	var told []string
	for _, l := range linesBetween(leader, g.from, g.to.Add(maxLogDelay)) {
		since := l.At.Sub(g.from).Seconds()
		switch l.Message {
		case messageLost:
			if keyOfEntry(l.Lost, name) != "" {
				told = append(told, fmt.Sprintf("%+.2f lost (%s)", since, l.Reason))
			}
		case messageWaits:
			if reason := keyOfEntry(l.Waits, step); reason != "" {
				told = append(told, fmt.Sprintf("%+.2f waits (%s)", since, reason))
			}
		}
	}
	return strings.Join(told, ", ")
}

// keyOfEntry is the key whose list has an entry that begins with a name.
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

// agentLines tells what the agent of a gap's worker wrote, without repetitions.
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
