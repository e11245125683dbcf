package fake

import (
	"context"
	"fmt"
	"os/signal"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/capersaddle/capersaddle/internal/emulator"
	"github.com/capersaddle/capersaddle/internal/fault"
)

// kindPlatform is the stand-in of the whole users' platform.
const kindPlatform = "platform"

const (
	// demoServers is how many servers each service has.
	demoServers = 3
	// demoEvents and demoGap shape a stream.
	demoEvents = 20
	demoGap    = 20 * time.Millisecond
)

// demoConfig is a configuration to try gateways with.
func demoConfig() *emulator.Config {
	return &emulator.Config{
		Version: 1,
		Routes: []emulator.Route{
			{Name: "pay", Host: "demo.example", Prefix: "/pay/", Kind: "non_idempotent", Service: "plain", TimeoutMs: 2000, LatencyMs: 100, MaxAttempts: 1},
			{Name: "ask", Host: "demo.example", Prefix: "/ask/", Kind: "idempotent", Service: "plain", TimeoutMs: 2000, LatencyMs: 100, MaxAttempts: 2},
			{Name: "chat", Host: "demo.example", Prefix: "/chat/", Kind: "streaming", Service: "engine", TimeoutMs: 10000, LatencyMs: 1000, GapMs: 400, MaxAttempts: 2, Resumable: true},
		},
		Services: []emulator.Service{{Name: "plain"}, {Name: "engine", Engine: map[string]any{"slots": 64}}},
		Tenants:  []emulator.Tenant{{Name: "demo", Keys: []string{"dev-key"}}},
		Limits:   emulator.Limits{BodyBytes: 4 << 20, IdleMs: 15000},
	}
}

// platformRun serves the stand-in until a signal.
func platformRun(opts *FakeOptions) error {
	made, err := emulator.New(opts.Listen)
	if err != nil {
		return fault.New(fault.BadRequest, fault.NotRun, "%v", err)
	}
	defer func() { _ = made.Close() }()
	if err := made.Accept(demoConfig()); err != nil {
		return err
	}
	for i := range demoServers {
		_, plainErr := made.AddServer("plain", "accra-1", "127.0.0.1:0", emulator.ServerOptions{ID: fmt.Sprintf("plain-%d", i)})
		_, engineErr := made.AddServer("engine", "accra-1", "127.0.0.1:0", emulator.ServerOptions{ID: fmt.Sprintf("engine-%d", i), Events: demoEvents, Gap: demoGap})
		if err := errors.CombineErrors(plainErr, engineErr); err != nil {
			return err
		}
	}
	_, _ = fmt.Fprintf(opts.IO.Out, "platform %s\n", made.StoreAddress())
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	<-ctx.Done()
	return nil
}
