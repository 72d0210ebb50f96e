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
	// maxOpenLoopInFlight bounds an open loop whose answers don't come.
	maxOpenLoopInFlight = 4096
)

// CallerConfig describes a load.
type CallerConfig struct {
	Name    string
	Entries []EntryAddress
	// Path precedes each request's own part of the URI.
	Path string
	// InFlight calls are kept up in a closed loop, when Rate is zero.
	InFlight int
	// Rate is the number of calls a second that start whether or not earlier
	// ones have ended.
	Rate float64
	// Requests and Duration end the load, whichever comes first; zero is no end.
	Requests int
	Duration time.Duration
	// Warmup is a time at the beginning whose calls are left out of the summary's
	// rate and latencies.
	Warmup time.Duration
	// Timeout is the deadline that the service grants.
	Timeout time.Duration
	// NonIdempotent is the share of calls that must run at most once, and Keyed
	// the share of those that carry an idempotency key.
	NonIdempotent float64
	Keyed         float64
	// MaxRetries is how often a keyed call whose answer was lost is sent again.
	MaxRetries  int
	BodyBytes   int
	AnswerBytes int
	WorkMS      int
	Seed        int64
	// NoRecord is for measurements: only the summary is recorded.
	SummaryOnly bool
}

// CallRecord is one line of a caller's record: a result or, last, the summary.
type CallRecord struct {
	Result  *CallResult  `json:"result,omitempty"`
	Summary *CallSummary `json:"summary,omitempty"`
}

// CallSummary closes a caller's record. Latencies are those of answered calls.
type CallSummary struct {
	Started   int             `json:"started"`
	Outcomes  map[Outcome]int `json:"outcomes"`
	PerSecond float64         `json:"per_second"`
	P50       time.Duration   `json:"p50_ns"`
	P99       time.Duration   `json:"p99_ns"`
	P999      time.Duration   `json:"p999_ns"`
	Max       time.Duration   `json:"max_ns"`
}

// Caller makes calls and records how each ended.
type Caller struct {
	cfg      CallerConfig
	record   *Recorder[CallRecord]
	sender   *sender
	balancer *Balancer

	// measuredFrom is when the warm-up ends.
	measuredFrom time.Duration

	mu       sync.Mutex
	rng      *rand.Rand
	started  int
	outcomes map[Outcome]int
	latency  *hdrhistogram.Histogram
}

// NewCaller returns a caller.
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

// Run makes calls until the load's end or the end of ctx, waits until each has
// ended, and records the summary.
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

// openLoop counts a call's latency from when it was due, so that a slow answer
// does not hide the wait of the calls behind it.
func (c *Caller) openLoop(ctx context.Context) {
	var wg conc.WaitGroup
	defer wg.Wait()
	room := make(chan struct{}, maxOpenLoopInFlight)
	period := time.Duration(float64(time.Second) / c.cfg.Rate)
	for due := worker.Now(); ; due += period {
		time.Sleep(due - worker.Now())
		room <- struct{}{}
		call, ok := c.nextCall(ctx)
		if !ok {
			return
		}
		wg.Go(func() {
			defer func() { <-room }()
			c.execute(call, due)
		})
	}
}

// nextCall draws the next call, or reports that the load is over.
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

// execute sends a call and, where its key allows, sends it again until the
// answer is known. A send that took too long ends it, so that the judge sees it.
func (c *Caller) execute(call Call, due time.Duration) {
	res := c.sender.send(context.Background(), c.balancer.Pick(), call)
	for sends := 1; ; sends++ {
		res.Sends = sends
		if call.Key == "" || sends > c.cfg.MaxRetries || !shouldRetry(res) || res.Duration > res.MaxDuration {
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
