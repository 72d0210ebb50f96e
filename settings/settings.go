// Package settings reads the daemons' settings from TOML files. A file is checked as a whole:
// all mistakes are reported at once, with their lines, and unknown keys are rejected.
package settings

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cairnlift/cairnlift/account"
)

// Duration is a time.Duration that is written in TOML as a string such as "150ms".
type Duration struct{ time.Duration }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(b []byte) (err error) {
	d.Duration, err = time.ParseDuration(string(b))
	if err != nil {
		return errors.Newf("%q is not a valid duration; write it like \"150ms\" or \"3s\"", b)
	}
	return nil
}

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// Location is the location of a host.
type Location struct {
	Region           string `toml:"region" validate:"required"`
	AvailabilityZone string `toml:"availability_zone" validate:"required"`
	Rack             string `toml:"rack"`
}

// Log configures logging.
type Log struct {
	// Level is debug, info, warn or error.
	Level string `toml:"level" validate:"omitempty,oneof=debug info warn error"`
	// Format is json or console.
	Format string `toml:"format" validate:"omitempty,oneof=json console"`
}

// Peer is a host of the control group.
type Peer struct {
	Name    string `toml:"name" validate:"required,host_name"`
	Address string `toml:"address" validate:"required,hostport_ip,reachable"`
}

// Control makes an entry a replica of the control group.
type Control struct {
	// DataFolder holds the replicated log and its snapshots.
	DataFolder string `toml:"data_folder" validate:"required"`
	// ElectionTimeout is the shortest time from a leader's last message to an election.
	ElectionTimeout Duration `toml:"election_timeout"`
	// HeartbeatInterval is the time between a leader's heartbeats.
	HeartbeatInterval Duration `toml:"heartbeat_interval"`
	// SnapshotEntries is the number of log entries from one snapshot to the next.
	SnapshotEntries uint64 `toml:"snapshot_entries"`
	// LeaseDuration is the time that a worker may run a task after a renewal of its lease.
	LeaseDuration Duration `toml:"lease_duration"`
	// ClockRateError bounds the rate error of any host's clock in either direction, in
	// parts per million.
	ClockRateError int64 `toml:"clock_rate_error_ppm"`
}

// Accounts determines the client accounts of submitted jobs. By default no job has one.
type Accounts struct {
	// Header is the HTTP header in which callers name their account; empty for none.
	Header string `toml:"header" validate:"omitempty,header_name"`
	// From is the source of the account of callers without the header: none, zone, address or queue.
	From string `toml:"from" validate:"omitempty,oneof=none zone address queue"`
}

// Rule returns the rule that the settings describe, which must have been checked.
func (a Accounts) Rule() account.Rule {
	r, err := account.ParseRule(a.Header, a.From)
	if err != nil {
		panic("settings: accounts were not checked: " + err.Error())
	}
	return r
}

// Entry holds the settings of cairnlift-entry.
type Entry struct {
	Name     string   `toml:"name" validate:"required,host_name"`
	Location Location `toml:"location"`
	// CallerAddress is the listen address for callers' requests.
	CallerAddress string `toml:"caller_address" validate:"required,hostport_ip"`
	// AdminAddress is the listen address for operators, health checks and metrics.
	AdminAddress string `toml:"admin_address" validate:"required,hostport_ip"`
	// InternalAddress is the listen address for agents and other entries.
	InternalAddress string `toml:"internal_address" validate:"required,hostport_ip,reachable"`
	// Peers are the hosts of the control group with their internal addresses. They
	// include this host exactly if it has a control section.
	Peers []Peer `toml:"peers" validate:"required,max=8,unique=Name,unique=Address,dive"`
	// Entries are other entry hosts with which to exchange announcements.
	Entries []Peer   `toml:"entries" validate:"unique=Name,unique=Address,dive"`
	Control *Control `toml:"control"`
	Log     Log      `toml:"log"`
	// ShutdownBound is the longest duration of a planned shutdown.
	ShutdownBound Duration `toml:"shutdown_bound"`
	// DrainDelay is the time that a stopping entry still serves requests while it reports
	// that it is not ready, so that the load balancer first stops sending callers to it.
	DrainDelay Duration `toml:"drain_delay"`
	// ClaimWindow is the time from the claim of an idempotency key through this entry to
	// the expiry of the key. It must be the same on all entries.
	ClaimWindow Duration `toml:"claim_window"`
	// StalenessBound is the longest time since the last confirmation of the configuration
	// for which it may be used.
	StalenessBound Duration `toml:"staleness_bound"`
	// MaxBodyBytes bounds the size of a caller's request body.
	MaxBodyBytes int64    `toml:"max_body_bytes"`
	Accounts     Accounts `toml:"accounts"`
}

// Agent holds the settings of cairnlift-agent.
type Agent struct {
	Name     string   `toml:"name" validate:"required,host_name"`
	Location Location `toml:"location"`
	// Address is the listen address for entries' dispatches.
	Address string `toml:"address" validate:"required,hostport_ip,reachable"`
	// LocalAddress is the listen address for announcements of targets on this host, health
	// checks and metrics.
	LocalAddress string `toml:"local_address" validate:"required,hostport_ip"`
	// Entries are the entry hosts with their internal addresses, the preferred home entry
	// first. While that one does not respond, the next one that responds replaces it.
	Entries []Peer `toml:"entries" validate:"required,unique=Name,unique=Address,dive"`
	// Worker is the address of the platform's worker on this host, empty if there is none.
	Worker            string   `toml:"worker" validate:"omitempty,hostport_ip"`
	HeartbeatInterval Duration `toml:"heartbeat_interval"`
	StalenessBound    Duration `toml:"staleness_bound"`
	ShutdownBound     Duration `toml:"shutdown_bound"`
	Log               Log      `toml:"log"`
}
