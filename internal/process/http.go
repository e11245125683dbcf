package process

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// headerTimeout limits reading a request's header, and maxHeaderBytes that of a request or a
	// response.
	headerTimeout  = 10 * time.Second
	maxHeaderBytes = 64 << 10
	// idleTimeout closes connections that carry no requests.
	idleTimeout = 2 * time.Minute
	// shutdownTimeout limits the shutdown of connections that were already drained.
	shutdownTimeout = 5 * time.Second
)

// httpService runs an HTTP server as a service of the kernel.
type httpService struct {
	listener net.Listener
	server   *http.Server
	wait     sync.WaitGroup
}

// newHTTPService returns a service that owns the listener.
func newHTTPService(listener net.Listener, handler http.Handler) *httpService {
	return newServerService(listener, &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		IdleTimeout:       idleTimeout,
	})
}

// newServerService returns a service that owns the listener and the server.
func newServerService(listener net.Listener, server *http.Server) *httpService {
	return &httpService{listener: listener, server: server}
}

// Start starts serving.
func (s *httpService) Start(context.Context) error {
	s.wait.Go(func() { _ = s.server.Serve(s.listener) })
	return nil
}

// Close waits for requests in flight and then closes the remaining connections.
func (s *httpService) Close() error {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	err := s.server.Shutdown(ctx)
	if err != nil {
		err = errors.CombineErrors(err, s.server.Close())
	}
	s.wait.Wait()
	return errors.Wrap(err, "close HTTP server")
}
