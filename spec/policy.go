package spec

import (
	"strings"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/place"
	"github.com/cairnlift/cairnlift/tomltext"
)

const (
	presetTailLatency  = "tail-latency"
	presetEvictions    = "evictions"
	totalWeightPercent = 100
)

var presetNames = []string{presetTailLatency, presetEvictions}

var weightKeys = []string{"tail_latency", "evictions", "batch_throughput"}

// presetPolicy returns the weights behind a preset's name in percent, nil for an
// unknown one.
func presetPolicy(name string) *apiv1.Policy {
	switch name {
	case presetTailLatency:
		return place.TailLatencyPolicy()
	case presetEvictions:
		return place.EvictionsPolicy()
	}
	return nil
}

func (p *parser) policy(root *tomltext.Table) {
	p.config.Policy = presetPolicy(defaultPreset)
	t, ok := root.Table("policy")
	if !ok {
		return
	}
	name, named := t.String("preset")
	weights := weights(t)
	t.RejectUnknownKeys()
	switch {
	case t.Has("preset") && weights != nil:
		t.AddProblem("preset", "can't be combined with weights")
	case weights != nil:
		p.config.Policy = weights
	case named && presetPolicy(name) == nil:
		t.AddProblem("preset", "%q must be one of %s", tomltext.Shorten(name), strings.Join(presetNames, ", "))
	case named:
		p.config.Policy = presetPolicy(name)
	}
}

// weights returns nil when the table sets none.
func weights(t *tomltext.Table) *apiv1.Policy {
	var values [3]int32
	set := 0
	for i, key := range weightKeys {
		if t.Has(key) {
			set++
		}
		values[i] = int32(integer(t, key, 0, totalWeightPercent, 0))
	}
	if set == 0 {
		return nil
	}
	w := &apiv1.Policy{TailLatency: values[0], Evictions: values[1], BatchThroughput: values[2]}
	if sum := w.TailLatency + w.Evictions + w.BatchThroughput; sum != totalWeightPercent {
		t.AddProblem("", "the weights %s make %d percent, not 100", strings.Join(weightKeys, ", "), sum)
	}
	return w
}
