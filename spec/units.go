package spec

import (
	"fmt"
	"math"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/tomltext"
)

const milli = 1000

// unit is a suffix of an amount of memory. Larger units come first, so that
// formatBytes finds the largest that divides an amount.
type unit struct {
	suffix string
	bytes  int64
}

var units = []unit{
	{"TiB", 1 << 40}, {"TB", 1e12},
	{"GiB", 1 << 30}, {"GB", 1e9},
	{"MiB", 1 << 20}, {"MB", 1e6},
	{"KiB", 1 << 10}, {"KB", 1e3},
	{"B", 1},
}

var memoryPattern = regexp.MustCompile(`^([0-9]{1,19}(?:\.[0-9]{1,6})?) ?([KMGT]i?B|B)$`)

// parseBytes reads an amount such as "16GB" (powers of 1000) or "1.5GiB"
// (powers of 1024).
func parseBytes(s string) (int64, bool) {
	m := memoryPattern.FindStringSubmatch(s)
	if m == nil {
		return 0, false
	}
	i := slices.IndexFunc(units, func(u unit) bool { return u.suffix == m[2] })
	if whole, err := strconv.ParseInt(m[1], 10, 64); err == nil {
		// Whole numbers stay out of floating point, which is exact to 2^53 only.
		return whole * units[i].bytes, whole <= math.MaxInt64/units[i].bytes
	}
	number, err := strconv.ParseFloat(m[1], 64)
	bytes := math.Round(number * float64(units[i].bytes))
	return int64(bytes), err == nil && bytes < math.MaxInt64
}

func formatBytes(n int64) string {
	for _, u := range units {
		if n >= u.bytes && n%u.bytes == 0 {
			return strconv.FormatInt(n/u.bytes, 10) + u.suffix
		}
	}
	return strconv.FormatInt(n, 10) + "B"
}

func formatProcessors(n int64) string {
	return strconv.FormatFloat(float64(n)/milli, 'f', -1, 64)
}

// duration reads whole milliseconds of at least 1 and at most limit.
func duration(t *tomltext.Table, key string, limit time.Duration) (ms int64, ok bool) {
	s, ok := t.String(key)
	if !ok {
		return 0, false
	}
	d, err := time.ParseDuration(s)
	if err != nil {
		t.AddProblem(key, "%q is no duration; write it like \"250ms\", \"2s\" or \"1h30m\"", tomltext.Shorten(s))
		return 0, false
	}
	if d < time.Millisecond || d > limit || d%time.Millisecond != 0 {
		t.AddProblem(key, "%v must be whole milliseconds between 1ms and %v", d, limit)
		return 0, false
	}
	return d.Milliseconds(), true
}

// integer reads an integer between low and high; the fallback when it is left out.
func integer(t *tomltext.Table, key string, low, high, fallback int64) int64 {
	n, ok := t.Int(key)
	if !ok {
		return fallback
	}
	if n < low || n > high {
		t.AddProblem(key, "%d must be between %d and %d", n, low, high)
		return fallback
	}
	return n
}

// sizeRules says which amounts a size table may hold.
type sizeRules struct {
	// optionalAmounts sizes may leave out processors and memory.
	optionalAmounts bool
	// limitFactor multiplies the largest amounts.
	limitFactor int64
}

func size(t *tomltext.Table, rules sizeRules) *apiv1.Resources {
	r := &apiv1.Resources{}
	if !rules.optionalAmounts {
		require(t, "processors", "memory")
	}
	if v, ok := t.Float("processors"); ok {
		r.MilliProcessors = processors(t, v, maxProcessors*rules.limitFactor)
	}
	if s, ok := t.String("memory"); ok {
		r.MemoryBytes = memory(t, s, maxMemoryBytes*rules.limitFactor)
	}
	r.Accelerators = integer(t, "accelerators", 0, maxAccelerators*rules.limitFactor, 0)
	t.RejectUnknownKeys()
	return r
}

func processors(t *tomltext.Table, v float64, limit int64) int64 {
	scaled := math.Round(v * milli)
	// The comparison is written so that NaN fails it as well.
	if !(v > 0 && v <= float64(limit)) || math.Abs(v*milli-scaled) > 1e-6*milli || scaled < 1 {
		t.AddProblem("processors", "%v must be above 0, at most %d, in steps of 0.001", v, limit)
		return 0
	}
	return int64(scaled)
}

func memory(t *tomltext.Table, s string, limit int64) int64 {
	n, ok := parseBytes(s)
	if !ok {
		t.AddProblem("memory", "%q is no amount of memory; write it like \"512MiB\" or \"16GB\"", tomltext.Shorten(s))
		return 0
	}
	if n < 1 || n > limit {
		t.AddProblem("memory", "%s must be above 0 and at most %s", s, formatBytes(limit))
		return 0
	}
	return n
}

// require records a problem for each key that is not set.
func require(t *tomltext.Table, keys ...string) {
	for _, key := range keys {
		if !t.Has(key) {
			t.AddProblem(key, "is required")
		}
	}
}

func formatDuration(ms int64) string {
	s := (time.Duration(ms) * time.Millisecond).String()
	if strings.HasSuffix(s, "m0s") {
		s = strings.TrimSuffix(s, "0s")
	}
	if strings.HasSuffix(s, "h0m") {
		s = strings.TrimSuffix(s, "0m")
	}
	return s
}

func plural(n int, what string) string {
	if n == 1 {
		return "1 " + what
	}
	return fmt.Sprintf("%d %ss", n, what)
}
