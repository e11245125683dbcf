package process_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/capersaddle/capersaddle/internal/checkpoint"
	"github.com/capersaddle/capersaddle/internal/emulator"
)

// TestStreamsAtRestoredTargets guards against streams of two versions that began at targets which
// gateways knew only from the checkpoint: they didn't know these targets' versions.
func TestStreamsAtRestoredTargets(t *testing.T) {
	cases := map[string]struct {
		versions []string
		// replaced is every how many-th target begins again under its ID, at the next version, while
		// entries are missing.
		replaced int
	}{
		"the same targets": {[]string{"v1", "v2"}, 0},
		"some begin again at another version meanwhile": {[]string{"v1", "v1.1", "v1.2"}, 3},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) { testRestoredTargets(t, test.replaced, test.versions) })
	}
}

func testRestoredTargets(t *testing.T, replaced int, versions []string) {
	const (
		streams = 150
		// lapsedFor is for how long the entries are missing, less than targets serve without one.
		lapsedFor     = time.Second
		replacedEvery = 50 * time.Millisecond
	)
	is := is.New(t)
	f := streamFleet(t, 0, 8, versions...)
	f.leave = 4 * time.Second
	f.startGateways(t, 2)
	eventually(t, "the checkpoint has the targets", f.storedCheckpoint)
	f.platform.Store.SetFaults(emulator.StoreFaults{Down: true})
	for _, gateway := range f.gateways {
		_ = gateway.Close()
	}
	f.gateways = nil
	for _, engine := range f.engines {
		f.platform.Leave(engine) // as if the entries had lapsed
	}
	for i := range 2 {
		f.gateways = append(f.gateways, f.startGateway(t, gatewayName(i), nil))
	}
	keepRunning(t, lapsedFor)
	f.platform.Store.SetFaults(emulator.StoreFaults{})
	f.awaitReady(t)
	callers, stop := f.startStreamCallers(4)
	keepRunning(t, lapsedFor)
	for number := range f.engines {
		if replaced > 0 && number%replaced == 0 {
			f.replaceEngine(t, number, versions[(number/streamTargets+1)%len(versions)])
			f.platform.Leave(f.engines[number]) // its entry comes with the others
			keepRunning(t, replacedEvery)
		}
	}
	t.Logf("before the entries are back: %+v", callers.Counts())
	for _, engine := range f.engines {
		if err := f.platform.Enter("engine", "zone", "ready", engine); err != nil {
			t.Fatal(err)
		}
	}
	eventually(t, "enough streams have begun", func() bool { return callers.Counts().Begun >= streams })
	counts := stop()
	t.Logf("%+v %+v", counts, callers.Mixed())
	is.Equal(counts.Mixed, 0)
	is.Equal(counts.Disordered, 0)
	is.True(counts.Resumed > 0)
	is.True(2*counts.Continued >= counts.Resumed)
	is.True(10*counts.Complete >= 9*counts.Begun)
}

// storedCheckpoint reports whether a gateway has saved a checkpoint that holds all engines.
func (f *fleet) storedCheckpoint() bool {
	item, ok := f.platform.Store.Get("capersaddle/placements")
	if !ok {
		return false
	}
	content, err := checkpoint.Decode(item.Value)
	return err == nil && len(content.Targets) >= len(f.engines)
}
