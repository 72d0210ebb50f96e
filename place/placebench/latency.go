package main

import (
	"math"
	"math/rand"
	"slices"
	"time"

	hdrhistogram "github.com/HdrHistogram/hdrhistogram-go"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

// target is a stand-in for a target: its times are drawn from a queue of the
// M/M/c kind whose service time the neighbours stretch.
type target struct {
	name     string
	service  serviceModel
	window   []float64
	requests float64
	// load is the last second's rate as a part of what the target is sized for.
	load float64
}

const (
	// samplesPerTick is how many requests of a second are drawn.
	samplesPerTick       = 24
	serviceTimeDeviation = 0.35
	// maxUtilization is the load above which requests are refused at once.
	maxUtilization = 0.95
)

// outcome sums up what callers of one service saw.
type outcome struct {
	histogram    *hdrhistogram.Histogram
	objective    float64
	served       float64
	refused      float64
	lateRequests float64
}

func newOutcome(objective float64) *outcome {
	const longestMicros, digits = 120_000_000, 3
	return &outcome{histogram: hdrhistogram.New(1, longestMicros, digits), objective: objective}
}

// serve draws a second of requests at a rate and a slowdown.
func (t *target) serve(perSecond, slowdown float64, out *outcome, rng *rand.Rand) {
	capacity := slots * milli / (t.service.meanServiceTime * slowdown)
	served := min(perSecond, capacity*maxUtilization)
	out.refused += perSecond - served
	t.load = served * t.service.meanServiceTime / (slots * milli * peakUtilization)
	out.served += served
	if served <= 0 {
		return
	}
	rho := served / capacity
	waits := erlangC(slots, rho)
	wait := t.service.meanServiceTime * slowdown / (slots * (1 - rho))
	t.requests += served
	weight := served / samplesPerTick
	for range samplesPerTick {
		ms := t.service.meanServiceTime * slowdown * math.Exp(serviceTimeDeviation*rng.NormFloat64()-serviceTimeDeviation*serviceTimeDeviation/2)
		if rng.Float64() < waits {
			ms += wait * rng.ExpFloat64()
		}
		t.window = append(t.window, ms)
		_ = out.histogram.RecordValues(int64(ms*milli), int64(math.Round(weight*100)))
		if ms > out.objective {
			out.lateRequests += weight
		}
	}
}

// erlangC is the part of requests that wait in an M/M/c queue.
func erlangC(c int, rho float64) float64 {
	a := float64(c) * rho
	term, sum := 1.0, 0.0
	for k := range c {
		sum += term
		term *= a / float64(k+1)
	}
	last := term / (1 - rho)
	return last / (sum + last)
}

// report sums up the window and starts the next, nil when there was nothing.
func (t *target) report(window time.Duration) *apiv1.LatencyReport {
	if len(t.window) == 0 {
		return nil
	}
	slices.Sort(t.window)
	n := len(t.window)
	r := &apiv1.LatencyReport{
		Target: t.name, Service: t.service.name,
		P50Us:    int64(t.window[n/2] * milli),
		P99Us:    int64(t.window[n*99/100] * milli),
		Requests: int64(t.requests), WindowMs: window.Milliseconds(),
	}
	t.window, t.requests = t.window[:0], 0
	return r
}

// baselineP99 is the p99 without neighbours at a load, from which objectives are set.
func baselineP99(s serviceModel, load float64) float64 {
	rng := rand.New(rand.NewSource(1))
	t := &target{service: s}
	out := newOutcome(math.Inf(1))
	for range 2000 {
		t.serve(load*slots*milli/s.meanServiceTime, 1, out, rng)
	}
	const us = 1000
	return float64(out.histogram.ValueAtQuantile(99)) / us
}
