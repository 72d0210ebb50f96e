package place

import "time"

// Config holds the tunables of a Placer. Zero fields take the defaults below.
type Config struct {
	// Seed initializes the only random source, which breaks ties between equal workers.
	Seed int64
	// MaxGrants bounds the grants of one round.
	MaxGrants int
	// SampleSize bounds the workers that are scored for one task.
	SampleSize int
	// MaxRejections bounds Decision.Rejections.
	MaxRejections int
	// BatchFloor is the number of consecutive grants of which at least one is for a batch task.
	BatchFloor int
	// StarveAfter is how long a batch task is queued before it takes precedence over fair shares.
	StarveAfter time.Duration
	// DecayTime is the time constant with which learned interference decays to its prior.
	DecayTime time.Duration
	// MinProcessorFraction is the smallest fraction of the declared processors that is granted to
	// a task of a kind that was observed to use less. The default of 1 grants at least the
	// declared amount.
	MinProcessorFraction float64
}

// Defaults of Config.
const (
	DefaultMaxGrants     = 2000
	DefaultSampleSize    = 48
	DefaultMaxRejections = 5
	DefaultBatchFloor    = 10
	DefaultStarveAfter   = 10 * time.Minute
	DefaultDecayTime     = 6 * time.Hour
)

func (c Config) withDefaults() Config {
	setDefault(&c.MaxGrants, DefaultMaxGrants)
	setDefault(&c.SampleSize, DefaultSampleSize)
	setDefault(&c.MaxRejections, DefaultMaxRejections)
	setDefault(&c.BatchFloor, DefaultBatchFloor)
	setDefault(&c.StarveAfter, DefaultStarveAfter)
	setDefault(&c.DecayTime, DefaultDecayTime)
	setDefault(&c.MinProcessorFraction, 1)
	return c
}

func setDefault[T comparable](v *T, def T) {
	var zero T
	if *v == zero {
		*v = def
	}
}
