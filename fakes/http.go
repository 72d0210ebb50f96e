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

// requestCopier reads a request's body and returns a function that returns a copy of the
// request with the whole body.
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

// serve serves requests on listener until ctx ends, then waits for requests in progress,
// at most for the grace period.
func serve(ctx context.Context, listener net.Listener, h http.Handler, grace time.Duration) error {
	server := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout}
	stopped := make(chan error, 1)
	stop := context.AfterFunc(ctx, func() {
		shutdownCtx, cancel := context.WithTimeout(context.Background(), grace)
		defer cancel()
		stopped <- server.Shutdown(shutdownCtx)
	})
	err := server.Serve(listener)
	if stop() || !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "HTTP server failed")
	}
	return errors.Wrap(<-stopped, "HTTP server shutdown with requests in progress")
}
