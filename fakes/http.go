package fakes

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	maxBodyBytes  = 16 << 20
	headerTimeout = 10 * time.Second
)

// requestCopier reads a request's body once and returns a function that makes equal
// requests from it.
func requestCopier(r *http.Request, body io.Reader) func() *http.Request {
	b, _ := io.ReadAll(body)
	return func() *http.Request {
		c := r.Clone(r.Context())
		c.Body = io.NopCloser(bytes.NewReader(b))
		return c
	}
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// serve answers on listener until ctx ends, then finishes requests in progress
// within the grace period.
func serve(ctx context.Context, listener net.Listener, h http.Handler, grace time.Duration) error {
	server := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout}
	stopped := make(chan error, 1)
	stop := context.AfterFunc(ctx, func() {
		bound, cancel := context.WithTimeout(context.Background(), grace)
		defer cancel()
		stopped <- server.Shutdown(bound)
	})
	err := server.Serve(listener)
	if stop() || !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "server ended")
	}
	return errors.Wrap(<-stopped, "requests were cut off")
}
