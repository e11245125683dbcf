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
	// headerTimeout and headerBytes bound a request's head.
	headerTimeout = 10 * time.Second
	headerBytes   = 64 << 10
	// idleTimeout ends connections without requests.
	idleTimeout = 2 * time.Minute
	// shutdownTimeout bounds the end of connections that were drained before.
	shutdownTimeout = 5 * time.Second
)

// httpService serves one HTTP address as a service of the kernel.
type httpService struct {
	listener net.Listener
	server   *http.Server
	wait     sync.WaitGroup
}

// newHTTPService owns the listener.
func newHTTPService(listener net.Listener, handler http.Handler) *httpService {
	return newServerService(listener, &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		MaxHeaderBytes:    headerBytes,
		IdleTimeout:       idleTimeout,
	})
}

// newServerService owns the listener and the server.
func newServerService(listener net.Listener, server *http.Server) *httpService {
	return &httpService{listener: listener, server: server}
}

// Start begins to serve.
func (s *httpService) Start(context.Context) error {
	s.wait.Go(func() { _ = s.server.Serve(s.listener) })
	return nil
}

// Close waits for requests in flight, then ends what is left.
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
