// Package metricstext formats a metrics registry as plain text, one value per line, for the
// daemons' /metrics endpoint.
package metricstext

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/rcrowley/go-metrics"
)

// percentiles are the percentiles that Format writes for histograms and timers.
var percentiles = []float64{0.5, 0.95, 0.99, 0.999}

// Format formats a registry as lines "name value", sorted by name. Counters and gauges have one
// line each. Histograms and timers have the lines name.count, .min, .max, .mean, .p50, .p95, .p99
// and .p99.9; the unit of a histogram is the suffix of its name, that of a timer is nanoseconds.
// Meters have the lines name.count and name.rate1m, a rate per second. Floats have three decimals.
func Format(registry metrics.Registry) string {
	var lines []string
	add := func(name string, value any) { lines = append(lines, name+" "+formatValue(value)+"\n") }
	registry.Each(func(name string, m any) {
		switch m := m.(type) {
		case metrics.Counter:
			add(name, m.Count())
		case metrics.Gauge:
			add(name, m.Value())
		case metrics.GaugeFloat64:
			add(name, m.Value())
		case metrics.Meter:
			s := m.Snapshot()
			add(name+".count", s.Count())
			add(name+".rate1m", s.Rate1())
		case metrics.Histogram:
			addDistribution(add, name, m.Snapshot())
		case metrics.Timer:
			addDistribution(add, name, m.Snapshot())
		}
	})
	slices.Sort(lines)
	return strings.Join(lines, "")
}

// formatValue formats floats with three decimals and all other values with fmt.Sprint.
func formatValue(value any) string {
	if f, ok := value.(float64); ok {
		return strconv.FormatFloat(f, 'f', 3, 64)
	}
	return fmt.Sprint(value)
}

// distribution is the common part of snapshots of histograms and timers.
type distribution interface {
	Count() int64
	Min() int64
	Max() int64
	Mean() float64
	Percentiles([]float64) []float64
}

func addDistribution(add func(string, any), name string, d distribution) {
	add(name+".count", d.Count())
	add(name+".min", d.Min())
	add(name+".max", d.Max())
	add(name+".mean", d.Mean())
	for i, v := range d.Percentiles(percentiles) {
		add(name+".p"+strconv.FormatFloat(percentiles[i]*100, 'f', -1, 64), v)
	}
}
