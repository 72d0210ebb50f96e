package soak

import (
	"encoding/json"
	"os"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"
)

// summary is the information about a soak run that the checker needs in addition to the records of its
// processes.
type summary struct {
	Title string
	// End is when the soak run ended, after which its processes were killed.
	End  time.Time
	Jobs []submittedJob
	// Changes and Reads are those of the configuration; empty if it was not changed.
	Changes []configChange
	Reads   []configRead
	// Cordons are those of the workers' zones.
	Cordons []zoneCordon
}

const summaryFile = "summary.json"

func (s summary) write(folder string) error {
	data, err := json.Marshal(s)
	if err != nil {
		return errors.Wrap(err, "summary")
	}
	return errors.Wrap(os.WriteFile(filepath.Join(folder, summaryFile), data, 0o600), "summary")
}

func readSummary(folder string) (summary, error) {
	var s summary
	data, err := os.ReadFile(filepath.Join(folder, summaryFile))
	if err != nil {
		return s, errors.Wrap(err, "summary")
	}
	return s, errors.Wrap(json.Unmarshal(data, &s), "summary")
}
