package main

import (
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"time"
)

const (
	earlyRepeats = 3
	earlyWait    = 15 * time.Second
	earlyBound   = 250 * time.Millisecond
	hourMs       = 3_600_000
)

// early has a client submit a job with occurrences: the first is due at once, the others after an interval of an
// hour, or of the longest time that the field holds.
func early(rec *record, trouble bool) (broken []string, err error) {
	d, err := newDeployment(rec, 3, 2)
	if err != nil {
		return nil, err
	}
	defer d.stop()
	if err := d.start(configuration(1, "/small/", "/batch/")); err != nil {
		return nil, err
	}
	time.Sleep(4 * time.Second)
	var interval int64 = hourMs
	if trouble {
		interval = math.MaxInt64
	}
	spec, _ := json.Marshal(work{WorkMs: 500, CPU: 100})
	id := fmt.Sprintf("%016x", rand.Uint64())
	due := time.Now()
	body := map[string]any{
		"spec": string(spec), "steps": []map[string]any{{"count": 1, "cpu": 100, "mem_mb": 16, "estimated_ms": 500}},
		"repeat_count": earlyRepeats, "start_at_ms": due.UnixMilli(), "interval_ms": interval,
	}
	text, _ := json.Marshal(body)
	status, _ := d.call(http.MethodPost, d.front(0)+":8161", routeHost, "/batch/"+id, body, 3*time.Second)
	rec.add("client: POST /batch/%s: %s, answer %d", id, text, status)
	time.Sleep(earlyWait)
	started := 0
	for k := range earlyRepeats {
		for _, w := range d.servers {
			at, begun := w.firstStart(fmt.Sprintf("%s.%d", id, k))
			if !begun {
				continue
			}
			started++
			rec.add("occurrence %d, due %d ms x %d after the submission, began %.1f s after it", k, interval, k, at.Sub(due).Seconds())
			if k > 0 && at.Add(earlyBound).Sub(due) < time.Hour {
				broken = append(broken, fmt.Sprintf("ORDER: occurrence %d of %s began %.1f s after the first was due, and is due %d x %d ms after that", k, id, at.Sub(due).Seconds(), k, interval))
			}
		}
	}
	if status == http.StatusOK && started == 0 {
		return nil, fmt.Errorf("nothing of the job began")
	}
	return broken, nil
}
