package dev

import (
	"context"
	"net"
	"net/http"
	"sync"

	"github.com/cockroachdb/errors"
)

// standIn runs the HTTP server of one emulator as a service of the kernel.
type standIn struct {
	listener net.Listener
	server   *http.Server
	wait     sync.WaitGroup
}

// Start starts serving.
func (s *standIn) Start(context.Context) error {
	s.wait.Go(func() { _ = s.server.Serve(s.listener) })
	return nil
}

// Close closes all connections and waits for the server to stop.
func (s *standIn) Close() error {
	err := s.server.Close()
	s.wait.Wait()
	return errors.Wrap(err, "close stand-in")
}
