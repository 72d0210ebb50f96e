package entry

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/failstop"
)

const (
	readHeaderTimeout = 10 * time.Second
	// callerReadTimeout bounds the reading of a complete request: a client that sends its body
	// very slowly must not occupy a connection indefinitely.
	callerReadTimeout = 30 * time.Second
	idleTimeout       = 2 * time.Minute
	tickInterval      = 200 * time.Millisecond
)

// server is an HTTP server with its listener.
type server struct {
	name string
	http *http.Server
	ln   net.Listener
}

func listen(name, address string, h http.Handler) (*server, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "%s address", name)
	}
	return &server{
		name: name,
		ln:   ln,
		http: &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout},
	}, nil
}

// listenAll opens the three addresses before anything is served, so that an error in the settings
// fails the start and not a later request.
func (e *Entry) listenAll() (internal, admin, callers *server, err error) {
	internal, err = listen("internal", e.settings.InternalAddress, e.internalHandler())
	if err != nil {
		return nil, nil, nil, err
	}
	admin, err = listen("admin", e.settings.AdminAddress, e.adminHandler())
	if err != nil {
		_ = internal.ln.Close()
		return nil, nil, nil, err
	}
	callers, err = listen("caller", e.settings.CallerAddress, e)
	if err != nil {
		_ = internal.ln.Close()
		_ = admin.ln.Close()
		return nil, nil, nil, err
	}
	callers.http.ReadTimeout = callerReadTimeout
	return internal, admin, callers, nil
}

// internalHandler serves agents, other entries and the control group.
func (e *Entry) internalHandler() http.Handler {
	mux := http.NewServeMux()
	control := apiv1.NewControlServer(e)
	mux.Handle(control.PathPrefix(), control)
	if e.node != nil {
		prefix, h := e.node.Handler()
		mux.Handle(prefix, h)
	}
	e.mountJobs(mux)
	return mux
}

func (s *server) serve(group *failstop.Group) {
	s.http.Handler = group.Handler(s.name, s.http.Handler)
	group.Go(s.name, func() {
		err := s.http.Serve(s.ln)
		if err != nil && !errors.Is(err, http.ErrServerClosed) {
			group.Fail(errors.Wrapf(err, "%s server", s.name))
		}
	})
}

// Run serves until the context ends, then shuts down gracefully within the shutdown bound. It
// returns an error when the entry could not start or an essential part failed.
func (e *Entry) Run(ctx context.Context) error {
	if err := e.startNode(e.log); err != nil {
		return errors.Wrap(err, "control group replica")
	}
	internal, admin, callers, err := e.listenAll()
	if err != nil {
		e.stopNode(ctx)
		return err
	}
	loops, stopLoops := context.WithCancel(context.Background())
	defer e.loops.Wait()
	defer stopLoops()
	for _, s := range []*server{internal, admin, callers} {
		s.serve(e.loops)
	}
	e.runJobs(loops)
	e.watchNode(loops)
	e.startLoops(loops)
	e.log.Info("entry started",
		zap.String("name", e.settings.Name),
		zap.String("callers", e.settings.CallerAddress),
		zap.String("admin", e.settings.AdminAddress),
		zap.String("internal", e.settings.InternalAddress))
	select {
	case err = <-e.loops.Failed():
	case err = <-e.background.Failed():
	case <-ctx.Done():
		return e.shutdown(internal, admin, callers)
	}
	e.log.Error("entry failed", zap.Error(err))
	closeAll(internal, admin, callers)
	return err
}

func closeAll(servers ...*server) {
	for _, s := range servers {
		_ = s.http.Close()
	}
}

// tickLoop calls tick at every tickInterval until the context ends.
func (e *Entry) tickLoop(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			e.tick()
		}
	}
}
