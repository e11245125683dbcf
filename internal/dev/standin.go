package dev

import (
	"context"
	"net"
	"net/http"
	"sync"

	"github.com/cockroachdb/errors"
)

// standIn serves one stand-in over HTTP as a service of the kernel.
type standIn struct {
	listener net.Listener
	server   *http.Server
	wait     sync.WaitGroup
}

// Start begins to serve.
func (s *standIn) Start(context.Context) error {
	s.wait.Go(func() { _ = s.server.Serve(s.listener) })
	return nil
}

// Close ends all connections and waits.
func (s *standIn) Close() error {
	err := s.server.Close()
	s.wait.Wait()
	return errors.Wrap(err, "close stand-in")
}
