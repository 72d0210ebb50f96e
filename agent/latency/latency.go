// Package latency measures the response times of a host's targets in windows, for
// the leader to match with the tasks that ran beside them. It does no I/O.
package latency

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

const (
	// Window is how long responses are gathered for one report.
	Window = 5 * time.Second
	// significantDigits is the precision of the histograms, in significant digits.
	significantDigits = 2
	// maxResponseMicros is the largest response time told apart, microseconds.
	maxResponseMicros = int64(10 * time.Minute / time.Microsecond)
	// maxPending bounds the reports that wait for an answered heartbeat.
	maxPending = 256
	milli      = 1000
)

// Recorder gathers response times. It is not safe for concurrent use.
type Recorder struct {
	start   time.Time
	targets map[string]*window
	pending []report
}

// window is one target's current window.
type window struct {
	service   string
	histogram *hdrhistogram.Histogram
	inFlight  int
	// inFlightTime is the time integral of inFlight up to changed.
	inFlightTime time.Duration
	updatedAt    time.Time
}

type report struct {
	message *apiv1.LatencyReport
	endedAt time.Time
}

// New returns a recorder whose first window starts now.
func New(now time.Time) *Recorder {
	return &Recorder{start: now, targets: make(map[string]*window)}
}

// RequestStarted notes that a target got a request.
func (r *Recorder) RequestStarted(now time.Time, target, service string) {
	r.rollWindow(now)
	w := r.targets[target]
	if w == nil {
		w = &window{service: service, histogram: hdrhistogram.New(1, maxResponseMicros, significantDigits), updatedAt: now}
		r.targets[target] = w
	}
	w.integrate(now)
	w.inFlight++
}

// RequestEnded notes that a request ended; answered says whether its response time counts.
func (r *Recorder) RequestEnded(now time.Time, target string, took time.Duration, answered bool) {
	r.rollWindow(now)
	w := r.targets[target]
	w.integrate(now)
	w.inFlight--
	if answered {
		// The error can only say "too large", which min rules out.
		_ = w.histogram.RecordValue(min(max(took.Microseconds(), 1), maxResponseMicros))
	}
}

func (w *window) integrate(now time.Time) {
	w.inFlightTime += now.Sub(w.updatedAt) * time.Duration(w.inFlight)
	w.updatedAt = now
}

// rollWindow closes the current window once it is over.
func (r *Recorder) rollWindow(now time.Time) {
	length := now.Sub(r.start)
	if length < Window {
		return
	}
	for name, w := range r.targets {
		w.integrate(now)
		if w.histogram.TotalCount() > 0 {
			r.pending = append(r.pending, report{message: w.report(name, length), endedAt: now})
		}
		w.histogram.Reset()
		w.inFlightTime = 0
		if w.inFlight == 0 {
			delete(r.targets, name)
		}
	}
	r.start = now
	if excess := len(r.pending) - maxPending; excess > 0 {
		r.pending = r.pending[excess:]
	}
}

func (w *window) report(name string, length time.Duration) *apiv1.LatencyReport {
	return &apiv1.LatencyReport{
		Target:            name,
		Service:           w.service,
		P50Us:             w.histogram.ValueAtQuantile(50),
		P99Us:             w.histogram.ValueAtQuantile(99),
		Requests:          w.histogram.TotalCount(),
		MeanInFlightMilli: int64(w.inFlightTime * milli / length),
		WindowMs:          length.Milliseconds(),
	}
}

// Reports returns the reports of windows that are over, with their ages. They stay
// until Sent.
func (r *Recorder) Reports(now time.Time) []*apiv1.LatencyReport {
	r.rollWindow(now)
	out := make([]*apiv1.LatencyReport, 0, len(r.pending))
	for _, p := range r.pending {
		p.message.AgeMs = now.Sub(p.endedAt).Milliseconds()
		out = append(out, p.message)
	}
	return out
}

// DropSent drops the first n reports of those that Reports returned.
func (r *Recorder) DropSent(n int) { r.pending = r.pending[min(n, len(r.pending)):] }
