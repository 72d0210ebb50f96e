package fakes

import (
	"bytes"
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

// ReplyMode is the kind of fault injected into a reply.
type ReplyMode string

// The kinds of reply faults.
const (
	// ReplyLost executes the order and closes the connection without a reply.
	ReplyLost ReplyMode = "lost"
	// ReplyLate executes the order and delays the reply.
	ReplyLate ReplyMode = "late"
	// OrderDuplicated executes the order twice, as after a retransmission.
	OrderDuplicated ReplyMode = "doubled"
)

// ReplyFault applies a fault to the next Times replies on one path.
type ReplyFault struct {
	Path    string    `json:"path"`
	Mode    ReplyMode `json:"mode"`
	Times   int       `json:"times"`
	DelayMS int64     `json:"delay_ms"`
}

// ReplyFaults injects faults into the replies of a handler.
type ReplyFaults struct {
	mu     sync.Mutex
	faults []ReplyFault
}

// Add schedules a fault.
func (f *ReplyFaults) Add(fault ReplyFault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults = append(f.faults, fault)
}

func (f *ReplyFaults) take(path string) (ReplyFault, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range f.faults {
		if f.faults[i].Path == path && f.faults[i].Times > 0 {
			f.faults[i].Times--
			return f.faults[i], true
		}
	}
	return ReplyFault{}, false
}

// Wrap returns a handler that passes orders to next and applies the scheduled faults.
func (f *ReplyFaults) Wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		fault, ok := f.take(r.URL.Path)
		if !ok {
			next.ServeHTTP(w, r)
			return
		}
		serveWithFault(fault, next, w, r)
	})
}

func serveWithFault(fault ReplyFault, next http.Handler, w http.ResponseWriter, r *http.Request) {
	body := http.MaxBytesReader(w, r.Body, maxBodyBytes)
	again := requestCopier(r, body)
	reply := newBufferedReply()
	next.ServeHTTP(reply, again())
	switch fault.Mode {
	case ReplyLost:
		panic(http.ErrAbortHandler)
	case OrderDuplicated:
		reply = newBufferedReply()
		next.ServeHTTP(reply, again())
	case ReplyLate:
		time.Sleep(time.Duration(fault.DelayMS) * time.Millisecond)
	}
	w.WriteHeader(reply.status)
	_, _ = w.Write(reply.body.Bytes())
}

// bufferedReply holds a reply until the fault has been applied.
type bufferedReply struct {
	header http.Header
	status int
	body   bytes.Buffer
}

func newBufferedReply() *bufferedReply {
	return &bufferedReply{header: http.Header{}, status: http.StatusOK}
}

func (r *bufferedReply) Header() http.Header         { return r.header }
func (r *bufferedReply) WriteHeader(status int)      { r.status = status }
func (r *bufferedReply) Write(b []byte) (int, error) { return r.body.Write(b) }

// handleFault schedules the fault in the request's body.
func (f *ReplyFaults) handleFault(w http.ResponseWriter, r *http.Request) {
	var fault ReplyFault
	if err := json.NewDecoder(r.Body).Decode(&fault); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	f.Add(fault)
}
