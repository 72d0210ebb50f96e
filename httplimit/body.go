package httplimit

import (
	"io"
	"net/http"
	"os"

	"github.com/cockroachdb/errors"
)

// Errors of a request that exceeds a limit. A handler passes them to Refuse.
var (
	ErrTooLarge = errors.New("the request body is too large")
	ErrBusy     = errors.New("the process has no memory left for this request at the moment")
	ErrTimeout  = errors.New("the request body did not arrive in time")
	errNoLength = errors.New("the request has no Content-Length")
)

// firstBuffer is the size of the first buffer of a body, unless a shorter length is announced.
// Buffers grow by what has arrived: an announced length costs a client nothing.
const firstBuffer = 8 << 10

// body is the body of a request that is served through Limits.
type body struct {
	limits      *Limits
	src         io.ReadCloser
	length      int64 // -1 if it is not announced
	read        int64
	ended       bool
	conn        *trackedConn
	reservation reservation
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.src.Read(p)
	b.read += int64(n)
	b.conn.progressed()
	switch {
	case b.read > b.limits.MaxBody:
		return n, ErrTooLarge
	case errors.Is(err, io.EOF):
		b.end()
	case errors.Is(err, os.ErrDeadlineExceeded):
		return n, errors.CombineErrors(ErrTimeout, err)
	}
	return n, err
}

// end records the end of the body. The server has cleared its deadline.
func (b *body) end() {
	if !b.ended {
		b.ended = true
		b.conn.bodyEnded()
	}
}

// Close implements io.Closer.
func (b *body) Close() error { return b.src.Close() }

// readAll reads the body into a buffer that the budget covers at each moment.
func (b *body) readAll() ([]byte, error) {
	size := int64(firstBuffer)
	if b.length >= 0 {
		size = min(size, b.length)
	}
	if !b.reservation.grow(size) {
		return nil, ErrBusy
	}
	buffer := make([]byte, 0, size)
	for {
		if int64(len(buffer)) == b.length {
			var rest [1]byte // only the end of the body is left
			if _, err := b.Read(rest[:]); !errors.Is(err, io.EOF) {
				return nil, errors.CombineErrors(err, io.ErrUnexpectedEOF)
			}
			return buffer, nil
		}
		if len(buffer) == cap(buffer) {
			next := min(2*int64(cap(buffer)), b.limits.MaxBody+1)
			if b.length >= 0 {
				next = min(next, b.length)
			}
			if !b.reservation.grow(next) {
				return nil, ErrBusy
			}
			released := int64(cap(buffer))
			buffer = append(make([]byte, 0, next), buffer...)
			b.reservation.shrink(released)
		}
		n, err := b.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		if errors.Is(err, io.EOF) {
			return buffer, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// ReadAll reads the body of a request within the limits of its server.
func ReadAll(r *http.Request) ([]byte, error) {
	if b, ok := r.Body.(*body); ok {
		return b.readAll()
	}
	return io.ReadAll(r.Body)
}

// Reserve draws n bytes that a request is about to take beside its body. They return to the budget
// when the request has been handled.
func Reserve(r *http.Request, n int64) error {
	if b, ok := r.Body.(*body); ok && !b.reservation.grow(n) {
		return ErrBusy
	}
	return nil
}

// Release returns what a request holds to the budget. Its body must not be used afterwards.
func Release(r *http.Request) {
	if b, ok := r.Body.(*body); ok {
		b.reservation.shrink(b.reservation.held)
	}
}

// Refuse prepares the response to a request whose body can't be read, or that has no memory: the
// connection is closed after it. It returns the status, which the caller writes.
func Refuse(w http.ResponseWriter, r *http.Request, err error) int {
	b, ok := r.Body.(*body)
	if ok {
		b.limits.refused(err)
		b.abandon(w)
	}
	switch {
	case errors.Is(err, ErrTooLarge):
		return http.StatusRequestEntityTooLarge
	case errors.Is(err, ErrBusy):
		w.Header().Set("Retry-After", "1")
		return http.StatusServiceUnavailable
	case errors.Is(err, ErrTimeout):
		return http.StatusRequestTimeout
	case errors.Is(err, errNoLength):
		return http.StatusLengthRequired
	}
	return http.StatusBadRequest
}
