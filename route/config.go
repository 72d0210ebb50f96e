package route

import "time"

// Config contains a router's settings. A field that is zero takes the default given in its comment.
// The defaults come from docs/measurements/routing.md. The names of the fields are the keys of
// routebench's --config flag.
type Config struct {
	// AvailabilityZone and Region are the location of this entry.
	AvailabilityZone string
	Region           string
	// Seed makes the router's random choices repeatable.
	Seed uint64

	// LocalLoad is the load of the entry's own availability zone, in requests in flight per slot,
	// from which requests are also sent to other zones. Default 0.7.
	LocalLoad float64
	// Choices is the number of randomly sampled targets, of which the least loaded one is chosen.
	// Default 4.
	Choices int
	// SlowStart is the time from when a target is added or readmitted until it gets its full share
	// of requests. Default 10 s.
	SlowStart time.Duration
	// LoadAge is the time from a load report until it expires. Default 1 s.
	LoadAge time.Duration
	// SubsetMin is the minimum number of targets in an entry's subset of a service, if the service
	// has that many. SubsetCover is the minimum number of entries that have each target in their
	// subset. Defaults 64 and 4.
	SubsetMin   int
	SubsetCover int

	// RefusalShare is the fraction of dispatches refused for lack of slots at which the concurrency
	// limit reaches its equilibrium. Default 0.5.
	RefusalShare float64
	// QueueFactor limits the length of a queue to a multiple of the concurrency limit. Default 2.
	QueueFactor float64
	// WaitObjectives limits the predicted time in the queue and at the target to a multiple of the
	// service's objective. Default 0.7.
	WaitObjectives float64
	// FinishQuantile is the quantile of the response time that must fit between a request's start
	// and its deadline. Default 0.5.
	FinishQuantile float64
	// BatchFloor is the minimum fraction of starts from the queue that batch requests get while
	// urgent requests wait. Default 0.1.
	BatchFloor float64

	// EjectRatio is the failure ratio from which a target is ejected. EjectConsecutive is the
	// number of consecutive failures from which it is ejected. Defaults 0.5 and 5.
	EjectRatio       float64
	EjectConsecutive int
	// EjectShare limits the fraction of targets that may be ejected when one is ejected for
	// failures. UnreachableShare is the limit when one is ejected because it is unreachable.
	// Defaults 0.3 and 0.5.
	EjectShare       float64
	UnreachableShare float64
	// EjectTime is the time from a target's first ejection to its first probe. It doubles with each
	// ejection or failed probe that follows, up to EjectTimeMax. Defaults 1 s and 4 s.
	EjectTime    time.Duration
	EjectTimeMax time.Duration

	// MaxAttempts limits the dispatches of one request, including hedges but not redirects. Default
	// 4.
	MaxAttempts uint32
	// RetryRatio is the number of retries that a success adds to the budget. RetryBurst is the
	// maximum that the budget accumulates. Defaults 0.1 and 20.
	RetryRatio float64
	RetryBurst float64
	// RedirectRatio and RedirectBurst are the same for redirects, which are attempts after a
	// refusal by an agent that cost no target any work. Defaults 2 and 100.
	RedirectRatio float64
	RedirectBurst float64
	// MaxRedirects limits the redirects of one request. Default 16.
	MaxRedirects uint32
	// HedgeRatio and HedgeBurst are the same for hedges. Defaults 0.03 and 10.
	HedgeRatio float64
	HedgeBurst float64
	// HedgeLoad is the fraction of the concurrency limit in use above which requests are not
	// hedged. Default 0.8.
	HedgeLoad float64

	// LatencyWindow is the length of a window of observed response times. Quantiles cover one to
	// two windows. Default 10 s.
	LatencyWindow time.Duration
	// RetryAfterMax limits the Retry-After of a refusal. Default 30 s.
	RetryAfterMax time.Duration
}

func (c Config) withDefaults() Config {
	setDefault(&c.LocalLoad, 0.7)
	setDefault(&c.Choices, 4)
	setDefault(&c.SlowStart, 10*time.Second)
	setDefault(&c.LoadAge, time.Second)
	setDefault(&c.SubsetMin, 64)
	setDefault(&c.SubsetCover, 4)
	setDefault(&c.RefusalShare, 0.5)
	setDefault(&c.QueueFactor, 2)
	setDefault(&c.WaitObjectives, 0.7)
	setDefault(&c.FinishQuantile, 0.5)
	setDefault(&c.BatchFloor, 0.1)
	setDefault(&c.EjectRatio, 0.5)
	setDefault(&c.EjectConsecutive, 5)
	setDefault(&c.EjectShare, 0.3)
	setDefault(&c.UnreachableShare, 0.5)
	setDefault(&c.EjectTime, time.Second)
	setDefault(&c.EjectTimeMax, 4*time.Second)
	setDefault(&c.MaxAttempts, 4)
	setDefault(&c.RetryRatio, 0.1)
	setDefault(&c.RetryBurst, 20)
	setDefault(&c.RedirectRatio, 2)
	setDefault(&c.RedirectBurst, 100)
	setDefault(&c.MaxRedirects, 16)
	setDefault(&c.HedgeRatio, 0.03)
	setDefault(&c.HedgeBurst, 10)
	setDefault(&c.HedgeLoad, 0.8)
	setDefault(&c.LatencyWindow, 10*time.Second)
	setDefault(&c.RetryAfterMax, 30*time.Second)
	return c
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
