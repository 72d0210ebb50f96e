package settings

import (
	"cmp"
	"time"
)

// Defaults of settings that a file does not set.
const (
	DefaultShutdownBound     = 30 * time.Second
	DefaultDrainDelay        = 3 * time.Second
	DefaultStalenessBound    = 3 * time.Second
	DefaultMaxBodyBytes      = 1 << 20
	DefaultElectionTimeout   = 500 * time.Millisecond
	DefaultLeaderHeartbeat   = 50 * time.Millisecond
	DefaultLeaseDuration     = 6 * time.Second
	DefaultClaimWindow       = 24 * time.Hour
	DefaultSnapshotEntries   = 10_000
	DefaultClockRateErrorPPM = 1_000
	DefaultAgentHeartbeat    = time.Second
	defaultLogLevel          = "info"
	defaultLogFormat         = "json"
)

// setDefault sets a value if it is zero.
func setDefault[T comparable](v *T, value T) { *v = cmp.Or(*v, value) }

// SetDefaults sets the defaults of settings that are not set.
func (s *Entry) SetDefaults() {
	setDefault(&s.ShutdownBound.Duration, DefaultShutdownBound)
	setDefault(&s.DrainDelay.Duration, min(DefaultDrainDelay, s.ShutdownBound.Duration/2))
	setDefault(&s.ClaimWindow.Duration, DefaultClaimWindow)
	setDefault(&s.StalenessBound.Duration, DefaultStalenessBound)
	setDefault(&s.MaxBodyBytes, DefaultMaxBodyBytes)
	s.Log.setDefaults()
	if s.Control != nil {
		s.Control.setDefaults()
	}
}

// SetDefaults sets the defaults of settings that are not set.
func (s *Agent) SetDefaults() {
	setDefault(&s.HeartbeatInterval.Duration, DefaultAgentHeartbeat)
	setDefault(&s.StalenessBound.Duration, DefaultStalenessBound)
	setDefault(&s.ShutdownBound.Duration, DefaultShutdownBound)
	s.Log.setDefaults()
}

func (c *Control) setDefaults() {
	setDefault(&c.ElectionTimeout.Duration, DefaultElectionTimeout)
	setDefault(&c.HeartbeatInterval.Duration, DefaultLeaderHeartbeat)
	setDefault(&c.LeaseDuration.Duration, DefaultLeaseDuration)
	setDefault(&c.SnapshotEntries, DefaultSnapshotEntries)
	setDefault(&c.ClockRateError, DefaultClockRateErrorPPM)
}

func (l *Log) setDefaults() {
	setDefault(&l.Level, defaultLogLevel)
	setDefault(&l.Format, defaultLogFormat)
}
