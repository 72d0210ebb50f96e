package fakes

import (
	"bytes"
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

// ReplyMode says what goes wrong with a reply.
type ReplyMode string

// What can go wrong with a reply.
const (
	// ReplyLost: the order is carried out and the connection closes without a reply.
	ReplyLost ReplyMode = "lost"
	// ReplyLate: the order is carried out and the reply waits.
	ReplyLate ReplyMode = "late"
	// OrderDuplicated: the order is carried out twice, as by a resent packet.
	OrderDuplicated ReplyMode = "doubled"
)

// ReplyFault makes the next Times replies on one path go wrong.
type ReplyFault struct {
	Path    string    `json:"path"`
	Mode    ReplyMode `json:"mode"`
	Times   int       `json:"times"`
	DelayMS int64     `json:"delay_ms"`
}

// ReplyFaults injects faults in front of a handler.
type ReplyFaults struct {
	mu     sync.Mutex
	faults []ReplyFault
}

// Add arms a fault.
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

// Wrap returns a handler that carries out orders and spoils replies as armed.
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

// bufferedReply keeps a reply until its fate is decided.
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

// handleFault arms the fault in the body.
func (f *ReplyFaults) handleFault(w http.ResponseWriter, r *http.Request) {
	var fault ReplyFault
	if err := json.NewDecoder(r.Body).Decode(&fault); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	f.Add(fault)
}
