package process_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/capersaddle/capersaddle/internal/emulator"
)

const (
	// streamEvents is the number of events in a stream of these tests, and streamGap the pause
	// between two.
	streamEvents = 30
	streamGap    = 5 * time.Millisecond
	// streamInterval is the interval between two streams.
	streamInterval = 15 * time.Millisecond
	// streamTargets is the number of engines of each version.
	streamTargets = 4
)

// streamFleet starts gateways in front of engines of several versions.
func streamFleet(t *testing.T, gateways, cutEvery int, versions ...string) *fleet {
	t.Helper()
	f := newFleet(t, 0)
	f.revocation = 0
	for _, server := range f.engines {
		f.platform.Leave(server)
	}
	f.engines = nil
	for _, version := range versions {
		for i := range streamTargets {
			server, err := f.platform.AddServer("engine", "zone", "127.0.0.1:0", emulator.ServerOptions{
				ID: fmt.Sprintf("engine-%s-%d", version, i), Events: streamEvents, Gap: streamGap,
				Version: version, VersionInEvents: true, CutEvery: cutEvery, KeepsID: true,
			})
			if err != nil {
				t.Fatal(err)
			}
			f.engines = append(f.engines, server)
		}
	}
	f.startGateways(t, gateways)
	return f
}

// startStreamCallers starts callers of streams; stop ends them and returns what they have seen.
func (f *fleet) startStreamCallers(loseEvery int) (callers *emulator.StreamCallers, stop func() emulator.StreamCounts) {
	callers = &emulator.StreamCallers{
		Addresses: f.callerAddresses, Host: host, Key: "key-1", Path: "/chat/1",
		Events: streamEvents, Every: streamInterval, LoseEvery: loseEvery,
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wait sync.WaitGroup
	wait.Go(func() { callers.Run(ctx) })
	return callers, func() emulator.StreamCounts {
		cancel()
		wait.Wait()
		return callers.Counts()
	}
}

// callerAddresses returns the addresses at which the gateways accept callers.
func (f *fleet) callerAddresses() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	addresses := make([]string, 0, len(f.gateways))
	for _, gateway := range f.gateways {
		addresses = append(addresses, gateway.Addresses().Callers)
	}
	return addresses
}

// replaceEngine crashes an engine; one of the given version begins in its place under its ID.
func (f *fleet) replaceEngine(t *testing.T, number int, version string) {
	t.Helper()
	restarted, err := f.platform.RestartAs(f.engines[number], version)
	if err != nil {
		t.Fatal(err)
	}
	f.engines[number] = restarted
}

// TestStreamsKeepTheirVersion guards against streams with events of two software versions, within
// one answer or over the attempts of a caller, and against streams that end although a target of
// their version serves.
func TestStreamsKeepTheirVersion(t *testing.T) {
	const streams = 300
	threeVersions := []string{"v1", "v1.1", "v1.2"}
	noDisruption := func(*testing.T, *fleet) {}
	cases := map[string]struct {
		gateways int
		versions []string
		cutEvery int
		// loseEvery makes callers lose the connection of every so many-th stream.
		loseEvery int
		disrupt   func(t *testing.T, f *fleet)
	}{
		"targets break streams off":      {4, threeVersions, 8, 0, noDisruption},
		"callers lose connections":       {4, threeVersions, 0, 4, noDisruption},
		"callers lose connections, many": {11, threeVersions, 0, 4, noDisruption},
		"both":                           {4, threeVersions, 8, 4, noDisruption},
		"both, one gateway":              {1, threeVersions, 8, 4, noDisruption},
		"one version":                    {4, []string{"v1"}, 8, 4, noDisruption},
		"gateways are killed":            {4, threeVersions, 8, 4, func(t *testing.T, f *fleet) { f.replaceGatewaysInTurn(t) }},
		"gateways are killed, store is away": {4, threeVersions, 8, 4, func(t *testing.T, f *fleet) {
			f.platform.Store.SetFaults(emulator.StoreFaults{Down: true})
			f.replaceGatewaysInTurn(t)
		}},
		"gateways are killed, many": {11, threeVersions, 8, 4, func(t *testing.T, f *fleet) { f.replaceGatewaysInTurn(t) }},
		"gateways stop as planned":  {4, threeVersions, 8, 4, func(t *testing.T, f *fleet) { f.drainGatewaysInTurn(t) }},
		"a version leaves as planned": {4, threeVersions, 8, 4, func(t *testing.T, f *fleet) {
			for _, engine := range f.engines[:streamTargets] {
				if err := f.platform.Enter("engine", "zone", "draining", engine); err != nil {
					t.Fatal(err)
				}
				keepRunning(t, 200*time.Millisecond)
				f.platform.Leave(engine)
			}
		}},
		"store is away": {4, threeVersions, 8, 4, func(_ *testing.T, f *fleet) { f.platform.Store.SetFaults(emulator.StoreFaults{Down: true}) }},
		"targets begin at another version": {4, threeVersions, 8, 4, func(t *testing.T, f *fleet) {
			for number := range f.engines {
				f.replaceEngine(t, number, threeVersions[number%len(threeVersions)])
				keepRunning(t, 100*time.Millisecond)
			}
		}},
		"a second version begins": {4, []string{"v1"}, 0, 4, func(t *testing.T, f *fleet) {
			for number := range streamTargets / 2 {
				keepRunning(t, 300*time.Millisecond)
				f.replaceEngine(t, number, "v2")
			}
		}},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := streamFleet(t, test.gateways, test.cutEvery, test.versions...)
			callers, stop := f.startStreamCallers(test.loseEvery)
			test.disrupt(t, f)
			eventually(t, "enough streams have begun", func() bool { return callers.Counts().Begun >= streams })
			counts := stop()
			t.Logf("%+v %+v", counts, callers.Mixed())
			is.Equal(counts.Mixed, 0)                     // streams with events of two versions
			is.Equal(counts.Disordered, 0)                // streams that miss an event or have one twice
			is.True(2*counts.Continued >= counts.Resumed) // streams that could go on and ended
			is.True(10*counts.Complete >= 9*counts.Begun) // most streams arrive whole
			is.True(test.loseEvery == 0 || counts.Resumed > 0)
		})
	}
}

// drainGatewaysInTurn stops all gateways as planned, one after the other; each begins again at once.
func (f *fleet) drainGatewaysInTurn(t *testing.T) {
	t.Helper()
	for number := range f.gateways {
		f.mu.Lock()
		stopping := f.gateways[number]
		f.mu.Unlock()
		if err := stopping.Drain(t.Context()); err != nil {
			t.Fatal(err)
		}
		f.replaceGateway(t, number)
	}
}

// replaceGatewaysInTurn kills all gateways one after the other; each begins again at once.
func (f *fleet) replaceGatewaysInTurn(t *testing.T) {
	t.Helper()
	for number := range f.gateways {
		f.replaceGateway(t, number)
	}
}
