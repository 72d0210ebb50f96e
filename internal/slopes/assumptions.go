package main

import (
	"time"

	"github.com/cairnlift/cairnlift/agent/gate"
	"github.com/cairnlift/cairnlift/place"
	"github.com/cairnlift/cairnlift/settings"
	"github.com/cairnlift/cairnlift/spec"
	"github.com/cairnlift/cairnlift/state"
)

// assumption is an input of the formulas that is not measured: a size from the requirements,
// a setting, a constant of the code or an assumption.
type assumption struct {
	name   string
	value  float64
	source string
}

const secondsPerDay = 86_400

// assumptions lists all inputs that are not measured. docs/CAPACITY.md contains them as a table.
var assumptions = []assumption{
	{"workers", 3700, "letter"},
	{"tasks", 26_000, "letter: batch tasks running; each is a lease"},
	{"targets", 21_000, "letter: latency-critical tasks running; each is a target that announces itself"},
	{"starts", 1000, "letter: task starts a second at the peak; as many end"},
	{"teams", teams, "letter"},
	{"changes", 4700.0 / secondsPerDay, "letter: 4,700 changes of configuration a day, per second"},
	{"jobs", 37_000, "letter: jobs a day"},
	{"zones", 19, "letter"},
	{"regions", 7, "letter"},
	{"hosts", 8, "letter: hosts set aside for control"},
	{"rack", 37, "ours: hosts behind a rack or switch, a hundredth of all"},
	{"entries", entries, "ours: entry hosts, two per availability zone, control hosts among them"},
	{"replicas", replicas, "ours: voters of a log"},
	{"standing", configuredJobs, "ours: jobs in the text at a time, if a job stands there for 8 hours"},
	{"services", teams, "ours: one service per team"},
	{"leases", leasesPerWorker, "tasks / workers, rounded"},
	{"perHost", targetsPerWorker, "targets / workers, rounded"},
	{"beat", settings.DefaultAgentHeartbeat.Seconds(), "setting: heartbeat_interval, s"},
	{"sync", 0.5, "constant: time between pushes of an entry to each other one, s"},
	{"ticks", 5, "constant: ticks of an entry a second"},
	{"gather", 0.01, "constant: how long an entry gathers renewals, s"},
	{"pause", 1, "constant: longest pause between the leader's rounds, s"},
	{"leaseWait", 6.262, "setting: lease_duration of 6 s with the clocks' rate error and stop margin, s"},
	{"logBeats", float64(time.Second / settings.DefaultLeaderHeartbeat), "setting: heartbeats of the log a second"},
	{"election", settings.DefaultElectionTimeout.Seconds(), "setting: election_timeout, s; drawn up to twice that"},
	{"roundTrip", 0.003, "brief: twice 1.5 ms between availability zones, s"},
	{"link", 125e6, "ours: a host's network, 1 Gbit/s in B/s"},
	{"lookEvery", 0.25, "constant: time between an agent's looks at its worker, s"},
	{"call", 1, "constant: longest call to the worker, s"},
	{"checkpoint", 3, "constant: longest time a checkpoint may take at an eviction, s"},
	{"perRound", place.DefaultMaxGrants, "constant: most grants of a round"},
	{"perCommand", grantsPerCommand, "constant: most grants of a log entry"},
	{"snapshotEvery", settings.DefaultSnapshotEntries, "setting: snapshot_entries"},
	{"claims", state.MaxClaims, "constant: most claims remembered"},
	{"responses", state.MaxTotalResponseBytes, "constant: most bytes of stored responses"},
	{"records", float64(gate.DefaultLimits().MaxRecords), "constant: most attempts that an agent remembers"},
	{"answers", float64(gate.DefaultLimits().MaxResponseBytes), "constant: most bytes of answers that an agent keeps"},
	{"limit", spec.MaxTextBytes, "constant: longest text, and longest log entry, B"},
	{"kept", 1 << 20, "constant: most bytes of changes that an entry keeps for others, and for agents"},
	{"gc", 2, "heap in use over live heap, at the collector's default (GOGC=100)"},
}
