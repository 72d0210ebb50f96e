package fakes

import (
	"context"
	"fmt"
	"math/rand"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/sourcegraph/conc"

	"github.com/cairnlift/cairnlift/worker"
)

const (
	histogramMax    = time.Minute
	histogramDigits = 3
	retryDelay      = 20 * time.Millisecond
	defaultTimeout  = 5 * time.Second
	// maxOpenLoopInFlight limits the calls in flight of an open loop whose answers are
	// missing.
	maxOpenLoopInFlight = 4096
)

// CallerConfig describes the load that a caller generates.
type CallerConfig struct {
	Name    string
	Entries []EntryAddress
	// Path is the prefix of each request's URI.
	Path string
	// InFlight is the number of calls in flight of the closed loop that runs if Rate is
	// zero.
	InFlight int
	// Rate is the number of calls per second of an open loop, which starts calls whether
	// or not earlier ones have ended.
	Rate float64
	// Requests and Duration limit the load, whichever is reached first; zero means no
	// limit.
	Requests int
	Duration time.Duration
	// Warmup is the length of the initial phase whose calls are excluded from the
	// summary's rate and latencies.
	Warmup time.Duration
	// Timeout is the request timeout of the service.
	Timeout time.Duration
	// NonIdempotent is the fraction of calls that must run at most once, and Keyed the
	// fraction of those that carry an idempotency key.
	NonIdempotent float64
	Keyed         float64
	// MaxRetries limits the retries of a keyed call whose answer was lost.
	MaxRetries  int
	BodyBytes   int
	AnswerBytes int
	WorkMS      int
	Seed        int64
	// SummaryOnly omits the results from the record, for measurements.
	SummaryOnly bool
}

// CallRecord is one line of a caller's record: a result or, in the last line, the summary.
type CallRecord struct {
	Result  *CallResult  `json:"result,omitempty"`
	Summary *CallSummary `json:"summary,omitempty"`
}

// CallSummary is the last line of a caller's record. The latencies and the rate cover
// the correctly answered calls.
type CallSummary struct {
	Started   int             `json:"started"`
	Outcomes  map[Outcome]int `json:"outcomes"`
	PerSecond float64         `json:"per_second"`
	P50       time.Duration   `json:"p50_ns"`
	P99       time.Duration   `json:"p99_ns"`
	P999      time.Duration   `json:"p999_ns"`
	Max       time.Duration   `json:"max_ns"`
}

// Caller makes calls and records their results.
type Caller struct {
	cfg      CallerConfig
	record   *Recorder[CallRecord]
	sender   *sender
	balancer *Balancer

	// measuredFrom is the end of the warm-up.
	measuredFrom time.Duration

	mu       sync.Mutex
	rng      *rand.Rand
	started  int
	outcomes map[Outcome]int
	latency  *hdrhistogram.Histogram
}

// NewCaller returns a caller that adds its results to record.
func NewCaller(cfg CallerConfig, record *Recorder[CallRecord]) *Caller {
	if cfg.Timeout <= 0 {
		cfg.Timeout = defaultTimeout
	}
	connections := max(cfg.InFlight, 1)
	if cfg.Rate > 0 {
		connections = maxOpenLoopInFlight
	}
	return &Caller{
		cfg:      cfg,
		record:   record,
		sender:   newSender(connections, cfg.Timeout),
		balancer: NewBalancer(cfg.Entries),
		rng:      rand.New(rand.NewSource(cfg.Seed)),
		outcomes: map[Outcome]int{},
		latency:  hdrhistogram.New(1, histogramMax.Microseconds(), histogramDigits),
	}
}

// Run makes calls until the load is complete or ctx ends, waits for the calls in
// progress, and records the summary.
func (c *Caller) Run(ctx context.Context) CallSummary {
	if c.cfg.Duration > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.cfg.Duration)
		defer cancel()
	}
	probing, stop := context.WithCancel(context.Background())
	var wg conc.WaitGroup
	defer wg.Wait()
	defer stop()
	wg.Go(func() { c.balancer.Probe(probing) })
	c.measuredFrom = worker.Now() + c.cfg.Warmup
	if c.cfg.Rate > 0 {
		c.openLoop(ctx)
	} else {
		c.closedLoop(ctx)
	}
	summary := c.summary(worker.Now() - c.measuredFrom)
	c.record.Add(CallRecord{Summary: &summary})
	return summary
}

func (c *Caller) closedLoop(ctx context.Context) {
	var wg conc.WaitGroup
	for range max(c.cfg.InFlight, 1) {
		wg.Go(func() {
			for {
				call, ok := c.nextCall(ctx)
				if !ok {
					return
				}
				c.execute(call, worker.Now())
			}
		})
	}
	wg.Wait()
}

// openLoop measures a call's latency from its scheduled start, so that a slow answer
// does not hide the delay of the calls scheduled after it (coordinated omission).
func (c *Caller) openLoop(ctx context.Context) {
	var wg conc.WaitGroup
	defer wg.Wait()
	slots := make(chan struct{}, maxOpenLoopInFlight)
	period := time.Duration(float64(time.Second) / c.cfg.Rate)
	for due := worker.Now(); ; due += period {
		time.Sleep(due - worker.Now())
		slots <- struct{}{}
		call, ok := c.nextCall(ctx)
		if !ok {
			return
		}
		wg.Go(func() {
			defer func() { <-slots }()
			c.execute(call, due)
		})
	}
}

// nextCall generates the next call, or returns false if the load is complete.
func (c *Caller) nextCall(ctx context.Context) (Call, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if ctx.Err() != nil || (c.cfg.Requests > 0 && c.started >= c.cfg.Requests) {
		return Call{}, false
	}
	c.started++
	id := fmt.Sprintf("%s-%d", c.cfg.Name, c.started)
	call := Call{
		ID: id, Method: http.MethodGet, URI: c.cfg.Path + "/" + id,
		AnswerBytes: c.cfg.AnswerBytes, WorkMS: c.cfg.WorkMS,
	}
	if c.rng.Float64() < c.cfg.NonIdempotent {
		call.Method = http.MethodPost
		call.Body = make([]byte, c.cfg.BodyBytes)
		c.rng.Read(call.Body)
		if c.rng.Float64() < c.cfg.Keyed {
			call.Key = id
		}
	}
	return call, true
}

// execute sends a call and, if it has an idempotency key, retries it until its answer is
// known. An attempt that exceeds its maximum duration is not retried, so that it is
// recorded and Check reports it.
func (c *Caller) execute(call Call, due time.Duration) {
	res := c.sender.send(context.Background(), c.balancer.Pick(), call)
	for attempts := 1; ; attempts++ {
		res.Sends = attempts
		if call.Key == "" || attempts > c.cfg.MaxRetries || !shouldRetry(res) || res.Duration > res.MaxDuration {
			break
		}
		time.Sleep(retryDelay)
		res = c.sender.send(context.Background(), c.balancer.Pick(), call)
	}
	res.Latency = worker.Now() - due
	c.recordResult(res, due)
}

func shouldRetry(r CallResult) bool {
	return r.Outcome == Lost || r.Outcome == Unknown || r.Outcome == Unsent
}

func (c *Caller) recordResult(res CallResult, due time.Duration) {
	if !c.cfg.SummaryOnly {
		c.record.Add(CallRecord{Result: &res})
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outcomes[res.Outcome]++
	if res.Correct && due >= c.measuredFrom {
		_ = c.latency.RecordValue(min(max(res.Latency.Microseconds(), 1), histogramMax.Microseconds()))
	}
}

func (c *Caller) summary(took time.Duration) CallSummary {
	c.mu.Lock()
	defer c.mu.Unlock()
	at := func(q float64) time.Duration {
		return time.Duration(c.latency.ValueAtQuantile(q)) * time.Microsecond
	}
	return CallSummary{
		Started:   c.started,
		Outcomes:  c.outcomes,
		PerSecond: float64(c.latency.TotalCount()) / took.Seconds(),
		P50:       at(50),
		P99:       at(99),
		P999:      at(99.9),
		Max:       at(100),
	}
}
