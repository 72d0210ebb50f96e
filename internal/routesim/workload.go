package routesim

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/route"
)

// Deployment describes the size and traffic of a user's installation.
type Deployment struct {
	Name    string
	Zones   int
	Targets int
	Entries int
	// CrossZoneLatency is the one-way network latency between two availability zones,
	// SameZoneLatency that within one.
	CrossZoneLatency, SameZoneLatency time.Duration
	Slots                             int
	Connections                       int
	// Mean and Sigma describe the log-normal response time of an idle target.
	Mean               time.Duration
	Sigma              float64
	Deadline           time.Duration
	Objective          time.Duration
	IdempotentFraction float64
	// IdempotentFraction and BatchFraction are the fractions of idempotent requests and of
	// requests with batch priority.
	BatchFraction float64
}

// Wrekinford returns the deployment of the markets office in the requirements. Its response
// times, deadlines and request fractions are assumptions.
func Wrekinford() Deployment {
	return Deployment{
		Name: "wrekinford", Zones: 3, Targets: 11, Entries: 3,
		CrossZoneLatency: time.Millisecond, SameZoneLatency: 100 * time.Microsecond,
		Slots: 8, Connections: 64,
		Mean: 60 * time.Millisecond, Sigma: 0.7,
		Deadline: 2 * time.Second, Objective: 300 * time.Millisecond,
		IdempotentFraction: 0.6, BatchFraction: 0.1,
	}
}

// Auction returns the deployment of the auction house in the requirements. Its response times,
// deadlines and request fractions are assumptions.
func Auction() Deployment {
	return Deployment{
		Name: "auction", Zones: 4, Targets: 11, Entries: 4,
		CrossZoneLatency: 1500 * time.Microsecond, SameZoneLatency: 100 * time.Microsecond,
		Slots: 8, Connections: 64,
		Mean: 30 * time.Millisecond, Sigma: 0.9,
		Deadline: 600 * time.Millisecond, Objective: 200 * time.Millisecond,
		IdempotentFraction: 0.8, BatchFraction: 0.1,
	}
}

// Capacity returns the request rate per second that occupies every slot of the deployment
// while there are no faults.
func (d Deployment) Capacity() float64 {
	return float64(d.Targets*d.Slots) / d.Mean.Seconds()
}

// Fault names the fault that is injected into a run.
type Fault string

// The faults. Unless it is FaultFree, each run also has slowdowns of random targets, of which
// the routers are not notified.
const (
	FaultFree  Fault = "calm"
	Slow       Fault = "slow"
	Failing    Fault = "failing"
	HostLost   Fault = "host-lost"
	ErrorStorm Fault = "storm"
	Leaving    Fault = "leaving"
	ZoneLost   Fault = "zone-lost"
	Brownout   Fault = "brownout"
	LoadSpike  Fault = "rush"
)

const (
	// slowTargets targets at a time are slowed down by a factor between minSlowFactor and
	// maxSlowFactor. Other targets are chosen after each slowPeriod.
	slowTargets   = 2
	minSlowFactor = 2.0
	maxSlowFactor = 4.0
	slowPeriod    = 4 * time.Second
	// failureLatency is the response time of a target that fails every request.
	failureLatency = time.Millisecond
	// loadSpikeFactor multiplies the offered rate, and brownoutFactor all response
	// times, in the middle third of a run.
	loadSpikeFactor = 2
	brownoutFactor  = 3
	// errorStormFraction is the fraction of requests that fail during an error storm.
	errorStormFraction = 0.6
	callerCount        = 40
	// busiestCallerFraction is the fraction of requests sent by busiestCaller.
	busiestCallerFraction = 0.2
	busiestCaller         = "c0"
)

// Run describes one simulation run.
type Run struct {
	Deployment Deployment
	Policy     string
	Fault      Fault
	// Load is the offered rate as a fraction of the deployment's capacity.
	Load     float64
	Seed     uint64
	Duration time.Duration
	// AgentQueue is the maximum number of requests that an agent queues for a target's slots;
	// agents use gate.MaxWaiting.
	AgentQueue int
	// Config overrides the router's default settings.
	Config route.Config
}

// request is a request of a caller. Every policy gets the same requests.
type request struct {
	id         string
	arrival    time.Duration
	entry      int
	caller     string
	idempotent bool
	priority   apiv1.Priority
	// serviceTime is the response time of an idle target without a fault.
	serviceTime time.Duration
}

// requests generates the requests of a run: an open-loop workload with Poisson arrivals.
func (r Run) requests() []request {
	rng := rand.New(rand.NewPCG(r.Seed, 1))
	d := r.Deployment
	rate := d.Capacity() * r.Load
	mu := math.Log(d.Mean.Seconds()) - d.Sigma*d.Sigma/2
	var out []request
	at := 0.0
	for i := 0; ; i++ {
		at += rng.ExpFloat64() / (rate * r.loadFactor(seconds(at)))
		if at >= r.Duration.Seconds() {
			return out
		}
		out = append(out, request{
			id:          fmt.Sprintf("r%d", i),
			arrival:     seconds(at),
			entry:       rng.IntN(d.Entries),
			caller:      drawCaller(rng),
			idempotent:  rng.Float64() < d.IdempotentFraction,
			priority:    drawPriority(rng, d.BatchFraction),
			serviceTime: seconds(math.Exp(mu + d.Sigma*rng.NormFloat64())),
		})
	}
}

// loadFactor returns the factor by which a load spike multiplies the offered rate at a time.
func (r Run) loadFactor(at time.Duration) float64 {
	if r.Fault == LoadSpike && at >= r.Duration/faultDivisor && at < 2*r.Duration/faultDivisor {
		return loadSpikeFactor
	}
	return 1
}

func drawCaller(rng *rand.Rand) string {
	if rng.Float64() < busiestCallerFraction {
		return busiestCaller
	}
	return fmt.Sprintf("c%d", 1+rng.IntN(callerCount-1))
}

func drawPriority(rng *rand.Rand, batch float64) apiv1.Priority {
	if rng.Float64() < batch {
		return apiv1.Priority_PRIORITY_BATCH
	}
	return apiv1.Priority_PRIORITY_URGENT
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
