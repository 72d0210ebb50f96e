package place

import "time"

// Config holds the tunables of a Placer. Zero fields take the defaults below.
type Config struct {
	// Seed of the only random source, which breaks ties between equal workers.
	Seed int64
	// MaxGrants bounds the grants of one round.
	MaxGrants int
	// SampleSize bounds the workers that are scored for one task.
	SampleSize int
	// MaxRejections bounds Decision.Rejections.
	MaxRejections int
	// BatchFloor: of this many grants in a row, at least one is batch.
	BatchFloor int
	// StarveAfter is how long a batch task waits before it goes ahead of fair shares.
	StarveAfter time.Duration
	// DecayTime is the time constant with which learnt interference is forgotten.
	DecayTime time.Duration
	// MinProcessorFraction is the smallest part of its declared processors that a task
	// is granted when its kind was seen to use less. 1, the default, grants at
	// least what was declared.
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

// withDefaults fills in zero fields.
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
