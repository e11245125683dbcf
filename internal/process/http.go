package process

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"

	"github.com/capersaddle/capersaddle/internal/listen"
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
	// questionTimeout is shutdownTimeout for what the platform and operators ask a gateway. They ask again,
	// and a planned stop has no more time after its grace period.
	questionTimeout = 100 * time.Millisecond
)

// httpService runs an HTTP server as a service of the kernel.
type httpService struct {
	listener net.Listener
	server   *http.Server
	// timeout limits the shutdown.
	timeout time.Duration
	wait    sync.WaitGroup
}

// newHTTPService returns a service that owns the listener.
func newHTTPService(listener net.Listener, handler http.Handler, logger *log.Logger) *httpService {
	return newServerService(listener, &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		IdleTimeout:       idleTimeout,
	}, logger)
}

// newServerService returns a service that owns the listener and the server, whose errors go to the logger:
// nobody may read the process's standard error.
func newServerService(listener net.Listener, server *http.Server, logger *log.Logger) *httpService {
	server.ErrorLog = logger.StandardLog(log.StandardLogOptions{ForceLevel: log.DebugLevel})
	return &httpService{listener: listen.Steady(listener, logger), server: server, timeout: shutdownTimeout}
}

// newQuestionService returns a service that owns the listener and answers what the platform and operators
// ask a gateway.
func newQuestionService(listener net.Listener, handler http.Handler, logger *log.Logger) *httpService {
	service := newServerService(listener, &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}, logger)
	service.timeout = questionTimeout
	return service
}

// Start starts serving.
func (s *httpService) Start(context.Context) error {
	s.wait.Go(func() { _ = s.server.Serve(s.listener) }) // until the listener is closed
	return nil
}

// Close waits for requests in flight and then closes the remaining connections.
func (s *httpService) Close() error {
	ctx, cancel := context.WithTimeout(context.Background(), s.timeout)
	defer cancel()
	err := s.server.Shutdown(ctx)
	if err != nil {
		err = errors.CombineErrors(err, s.server.Close())
	}
	s.wait.Wait()
	return errors.Wrap(err, "close HTTP server")
}

// lateService is a question service on an address that is in use, from when that is free on.
type lateService struct {
	opener  listen.Opener
	address string
	handler http.Handler

	cancel context.CancelFunc
	wait   sync.WaitGroup
	// serving is nil until the address is open. It belongs to the goroutine of Start until that has ended.
	serving *httpService
}

// Start waits for the address in a goroutine.
func (s *lateService) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	s.wait.Go(func() { s.open(ctx) })
	return nil
}

func (s *lateService) open(ctx context.Context) {
	listener, err := s.opener.TCP(ctx, s.address, nil)
	if err != nil {
		s.opener.Log.Warn("address_not_served", "address", s.address, "error", err)
		return
	}
	s.serving = newQuestionService(listener, s.handler, s.opener.Log)
	_ = s.serving.Start(ctx) // never fails
}

// Close ends the wait for the address, or closes the server.
func (s *lateService) Close() error {
	if s.cancel == nil {
		return nil
	}
	s.cancel()
	s.wait.Wait()
	if s.serving == nil {
		return nil
	}
	return s.serving.Close()
}
