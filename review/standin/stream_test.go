//go:build review

package standin

import (
	"time"

	"github.com/capersaddle/capersaddle/internal/emulator"
)

const (
	// streamTimeout is timeout_ms of the streams' route, and the patience of its clients.
	streamTimeout = 12 * time.Second
	// clientTries is how many requests a client sends at most for one stream.
	clientTries = 4
)

// streamConfig returns a configuration with one route of streams that may be resumed.
func streamConfig() *emulator.Config {
	return &emulator.Config{
		Version:  3,
		Routes:   []emulator.Route{{Name: "report", Host: host, Prefix: "/report/", Kind: "streaming", Service: engineService, TimeoutMs: int(streamTimeout.Milliseconds()), LatencyMs: 1200, GapMs: 400, MaxAttempts: 2, Resumable: true}},
		Services: []emulator.Service{{Name: engineService, Engine: map[string]any{"slots": engineSlots}}},
		Tenants:  []emulator.Tenant{{Name: "clinic", Keys: []string{key}}},
		Limits:   limits,
	}
}
