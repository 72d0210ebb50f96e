package httplimit

import (
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
)

// Limits bounds what the requests of one server hold.
type Limits struct {
	// Budget returns the budget of a request.
	Budget func(*http.Request) *Budget
	// MaxBody is the size of the largest body.
	MaxBody int64
	// BodyTimeout returns how long the body of a request may take to arrive.
	BodyTimeout func(*http.Request) time.Duration
	// AnnouncedFactor, if it is not 0, is how many times its announced length a request holds. Its
	// body must have a length then, and the handler may read it in any way.
	AnnouncedFactor int64
	// WriteError writes a response that refuses a request.
	WriteError func(w http.ResponseWriter, status int, message string)
	// OnRefused, if it is not nil, is called for each refused request.
	OnRefused func(error)
	Metrics   *RequestMetrics
}

// RequestMetrics counts the refused requests.
type RequestMetrics struct{ busy, tooLarge, timedOut metrics.Counter }

// NewRequestMetrics returns the counters of a process.
func NewRequestMetrics(registry metrics.Registry) *RequestMetrics {
	return &RequestMetrics{
		busy:     metrics.GetOrRegisterCounter("http.refused.memory", registry),
		tooLarge: metrics.GetOrRegisterCounter("http.refused.too_large", registry),
		timedOut: metrics.GetOrRegisterCounter("http.refused.timeout", registry),
	}
}

func (l *Limits) refused(err error) {
	switch {
	case errors.Is(err, ErrBusy):
		l.Metrics.busy.Inc(1)
	case errors.Is(err, ErrTooLarge):
		l.Metrics.tooLarge.Inc(1)
	case errors.Is(err, ErrTimeout):
		l.Metrics.timedOut.Inc(1)
	default:
		return
	}
	if l.OnRefused != nil {
		l.OnRefused(err)
	}
}

// Handler returns a handler that serves requests through h within the limits. h reads bodies with
// ReadAll, unless the limits have an AnnouncedFactor.
func (l *Limits) Handler(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b := &body{
			limits: l, src: r.Body, length: r.ContentLength, conn: connOf(r), reservation: reservation{budget: l.Budget(r)},
		}
		defer func() { b.reservation.shrink(b.reservation.held) }()
		// net/http checks the type of the body of its own request.
		limited := r.WithContext(r.Context())
		limited.Body = b
		if err := b.admit(w, r); err != nil {
			status := Refuse(w, limited, err)
			l.WriteError(w, status, err.Error())
			return
		}
		h.ServeHTTP(w, limited)
	})
}

// admit checks what a request announces, and starts the clock of its body.
func (b *body) admit(w http.ResponseWriter, r *http.Request) error {
	switch {
	case b.length == 0:
		b.ended = true
		return nil
	case b.length > b.limits.MaxBody || b.length < 0 && b.limits.MaxBody == 0:
		return ErrTooLarge
	case b.limits.AnnouncedFactor > 0 && b.length < 0:
		return errNoLength
	case b.limits.AnnouncedFactor > 0 && !b.reservation.grow(b.length*b.limits.AnnouncedFactor):
		return ErrBusy
	}
	b.conn.bodyBegan()
	// Without a deadline, as in tests of handlers, the body takes as long as its source.
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(b.limits.BodyTimeout(r)))
	return nil
}

// abandon gives up the rest of the body: the connection is closed after the response.
func (b *body) abandon(w http.ResponseWriter) {
	w.Header().Set("Connection", "close")
	if b.ended {
		return
	}
	b.conn.lingers()
	// The server would read the rest before it closes the connection.
	_ = http.NewResponseController(w).SetReadDeadline(time.Now())
	// Exceeding the limit of a MaxBytesReader makes the server wait between the response and the
	// close of the connection. Otherwise the reset of unread data overtakes the response.
	_, _ = http.MaxBytesReader(w, io.NopCloser(strings.NewReader("x")), 0).Read(make([]byte, 1))
}
