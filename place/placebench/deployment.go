package main

import (
	"fmt"
	"math"
	"math/rand"
	"time"

	"github.com/cairnlift/cairnlift/place"
)

// deployment is one of the two sizes of the brief.
type deployment struct {
	name       string
	zones      int
	processors int64
	memory     int64
	services   []serviceModel
}

// serviceModel is a service with a target on every worker from first on.
type serviceModel struct {
	name string
	// meanServiceTime service time without neighbours, milliseconds.
	meanServiceTime float64
	workers         int
}

const (
	workersPerDeployment = 11
	rackSize             = 3
	slots                = 8
	gibibyte             = 1 << 30
	milli                = 1000
)

var deployments = []deployment{
	{"wrekinford", 3, 32, 125, []serviceModel{{"bookings", 40, 11}, {"certificates", 60, 4}}},
	{"auction", 4, 64, 250, []serviceModel{{"valuations", 30, 11}, {"bids", 50, 5}}},
}

// kindModel is the hidden truth about one kind of task.
type kindModel struct {
	name     string
	declared place.Resources
	// sizeFactor is what tasks use in terms of what they declare.
	sizeFactor   float64
	run          time.Duration // declared
	runFactor    float64
	checkpoint   time.Duration
	evictionCost int32
	// harm per service, and the load above which it shows, 0 for always.
	harm          map[string]float64
	loadThreshold map[string]float64
	driftPhase    float64
}

const kindCount = 12

// newKinds draws the hidden truth of a seed.
func newKinds(d deployment, harmful float64, rng *rand.Rand) []*kindModel {
	kinds := make([]*kindModel, kindCount)
	for i := range kinds {
		declared := place.Resources{
			MilliProcessors: []int64{1, 2, 2, 4, 4, 8}[rng.Intn(6)] * milli,
			MemoryBytes:     []int64{2, 4, 8, 16}[rng.Intn(4)] * gibibyte,
		}
		k := &kindModel{
			name: fmt.Sprintf("kind-%02d", i), declared: declared,
			sizeFactor:   math.Exp(rng.Float64()*math.Log(4/0.3) + math.Log(0.3)),
			run:          time.Duration(2+rng.Intn(14)) * time.Minute,
			runFactor:    math.Exp(rng.Float64()*math.Log(8) - math.Log(2)),
			checkpoint:   time.Duration(60+rng.Intn(180)) * time.Second,
			evictionCost: 1, harm: map[string]float64{}, loadThreshold: map[string]float64{},
			driftPhase: rng.Float64() * 2 * math.Pi,
		}
		if i%4 == 0 { // checks and watchers: dear to evict
			k.evictionCost = 5
			k.checkpoint = 10 * time.Minute
		}
		for _, s := range d.services {
			k.harm[s.name], k.loadThreshold[s.name] = drawHarm(harmful, rng)
		}
		kinds[i] = k
	}
	return kinds
}

// drawHarm: most pairs are harmless, some mild, some harmful under load only, a
// few always.
func drawHarm(harmful float64, rng *rand.Rand) (harm, threshold float64) {
	switch p := rng.Float64(); {
	case p < 0.75*(1-harmful):
		return 0.01 * rng.Float64(), 0
	case p < 1-harmful:
		return 0.01 + 0.03*rng.Float64(), 0
	case p < 1-harmful/4:
		return 0.15 + 0.30*rng.Float64(), 0.45 + 0.25*rng.Float64()
	}
	return 0.3 + 0.3*rng.Float64(), 0
}

// slowdown is what one task of the kind adds to a service's time.
func (k *kindModel) slowdown(service string, load, share float64, t time.Duration) float64 {
	harm := k.harm[service]
	if th := k.loadThreshold[service]; th > 0 {
		harm /= 1 + math.Exp(-(load-th)/0.05)
	}
	// A quarter of the harm (memory, caches) stays when processors are held down.
	harm *= 0.25 + 0.75*share
	drift := 1 + 0.3*math.Sin(2*math.Pi*t.Minutes()/90+k.driftPhase)
	size := float64(k.declared.MilliProcessors) / (4 * milli)
	return harm * drift * math.Sqrt(size)
}

// trafficRate is the service's request rate over the run as a part of the peak: quiet,
// then the morning rush from a third to two thirds of the run, with short bursts.
func trafficRate(t, length time.Duration, rng *rand.Rand) float64 {
	const quiet, width = 0.4, 0.04
	x := float64(t) / float64(length)
	rise := 1 / (1 + math.Exp(-(x-0.33)/width))
	fall := 1 / (1 + math.Exp((x-0.70)/width))
	return (quiet + (1-quiet)*rise*fall) * (1 + 0.06*rng.NormFloat64())
}
