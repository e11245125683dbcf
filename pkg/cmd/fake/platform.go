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

// kindPlatform is the fake of the whole users' platform.
const kindPlatform = "platform"

const (
	// demoServers is the number of servers of each service.
	demoServers = 3
	// demoEvents and demoGap are the number of a stream's events and the time between them.
	demoEvents = 20
	demoGap    = 20 * time.Millisecond
	// demoWork is the time that a server takes for a plain answer: with the load of the fake's
	// callers, each server has two requests in flight.
	demoWork = 30 * time.Millisecond

	demoHost = "demo.example"
	demoKey  = "dev-key"
	// demoVersion is the version of the servers at the start.
	demoVersion  = "v1"
	servicePlain = "plain"
)

// demoConfig returns a configuration for trying out gateways.
func demoConfig() *emulator.Config {
	return &emulator.Config{
		Version: 1,
		Routes: []emulator.Route{
			{Name: "pay", Host: demoHost, Prefix: "/pay/", Kind: "non_idempotent", Service: servicePlain, TimeoutMs: 2000, LatencyMs: 100, MaxAttempts: 1},
			{Name: "ask", Host: demoHost, Prefix: "/ask/", Kind: "idempotent", Service: servicePlain, TimeoutMs: 2000, LatencyMs: 100, MaxAttempts: 2},
			{Name: "chat", Host: demoHost, Prefix: "/chat/", Kind: "streaming", Service: "engine", TimeoutMs: 10000, LatencyMs: 1000, GapMs: 400, MaxAttempts: 2, Resumable: true},
		},
		Services: []emulator.Service{{Name: servicePlain}, {Name: "engine", Engine: map[string]any{"slots": 64}}},
		Tenants:  []emulator.Tenant{{Name: "demo", Keys: []string{demoKey}}},
		Limits:   emulator.Limits{BodyBytes: 4 << 20, IdleMs: 15000},
	}
}

// addPlainServers starts the plain service's servers of a version.
func addPlainServers(platform *emulator.Platform, version string, bad *emulator.Bad) error {
	for i := range demoServers {
		id := fmt.Sprintf("%s-%s-%d", servicePlain, version, i)
		_, err := platform.AddServer(servicePlain, "accra-1", "127.0.0.1:0", emulator.ServerOptions{ID: id, Version: version, Work: demoWork, Bad: bad})
		if err != nil {
			return err
		}
	}
	return nil
}

// addEngines starts the engines.
func addEngines(platform *emulator.Platform) error {
	for i := range demoServers {
		id := fmt.Sprintf("engine-%d", i)
		_, err := platform.AddServer("engine", "accra-1", "127.0.0.1:0", emulator.ServerOptions{ID: id, Version: demoVersion, Weights: 1, Events: demoEvents, Gap: demoGap})
		if err != nil {
			return err
		}
	}
	return nil
}

// platformRun serves the fake platform until a signal.
func platformRun(opts *FakeOptions) error {
	if err := opts.Rollout.validate(); err != nil {
		return err
	}
	platform, err := emulator.New(opts.Listen)
	if err != nil {
		return fault.New(fault.BadRequest, fault.NotRun, "%v", err)
	}
	defer func() { _ = platform.Close() }()
	err = errors.CombineErrors(platform.Accept(demoConfig()), errors.CombineErrors(addPlainServers(platform, demoVersion, nil), addEngines(platform)))
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintf(opts.IO.Out, "platform %s\n", platform.StoreAddress())
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	return runDemo(ctx, opts, platform)
}
