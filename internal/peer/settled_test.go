package peer

import (
	"testing"

	"github.com/matryer/is"

	"github.com/capersaddle/capersaddle/internal/link"
)

// TestNewGatewayIsNotSettled guards against a query before Start that computes the state with a
// zero start time: the gateway then counted as one that has had the time to hear all others.
func TestNewGatewayIsNotSettled(t *testing.T) {
	is := is.New(t)
	n := newNodeWith(t, "a", link.NewMemory(), func(service *Service) { service.Census() })
	n.service.mu.Lock()
	defer n.service.mu.Unlock()
	is.True(!n.service.table.hasSettled)
}
