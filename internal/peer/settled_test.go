package peer

import (
	"testing"

	"github.com/matryer/is"

	"github.com/capersaddle/capersaddle/internal/link"
)

// TestNewGatewayIsNotSettled: its standing is asked for before it is started, and counted as
// that of one that has had the time to hear all others.
func TestNewGatewayIsNotSettled(t *testing.T) {
	is := is.New(t)
	n := newNodeWith(t, "a", link.NewMemory(), func(service *Service) { service.Census() })
	n.service.mu.Lock()
	defer n.service.mu.Unlock()
	is.True(!n.service.table.hasSettled)
}
