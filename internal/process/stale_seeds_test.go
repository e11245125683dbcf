package process_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/capersaddle/capersaddle/internal/emulator"
	"github.com/capersaddle/capersaddle/internal/settings"
)

// heardGateways returns how many others a gateway hears.
func (f *fleet) heardGateways(t *testing.T, gateway int) int {
	t.Helper()
	response, err := http.Get("http://" + f.gateways[gateway].Addresses().Operators + "/metrics")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		if value, ok := strings.CutPrefix(lines.Text(), "capersaddle_gateway_peers "); ok {
			count := 0
			_, _ = fmt.Sscan(value, &count)
			return count
		}
	}
	return 0
}

// allHeard reports whether each gateway hears all others.
func (f *fleet) allHeard(t *testing.T) bool {
	for i := range f.gateways {
		if f.heardGateways(t, i) != len(f.gateways)-1 {
			return false
		}
	}
	return true
}

// TestGatewaysWithStaleSeedsFindEachOther guards against gateways that serve side by side and share nothing,
// because no gateway runs at any address that their settings name.
func TestGatewaysWithStaleSeedsFindEachOther(t *testing.T) {
	stale := func(string) []string { return []string{unusedAddress} }
	start := func(t *testing.T, f *fleet, count int, seeds func(own string) []string) {
		for range count {
			f.startWithSeeds(t, seeds)
		}
	}
	cases := map[string]struct {
		run func(t *testing.T, f *fleet)
	}{
		"two":           {func(t *testing.T, f *fleet) { start(t, f, 2, stale) }},
		"eight":         {func(t *testing.T, f *fleet) { start(t, f, 8, stale) }},
		"twenty-eight":  {func(t *testing.T, f *fleet) { start(t, f, 28, stale) }},
		"no seeds":      {func(t *testing.T, f *fleet) { start(t, f, 3, func(string) []string { return nil }) }},
		"only its own":  {func(t *testing.T, f *fleet) { start(t, f, 3, func(own string) []string { return []string{own} }) }},
		"one after all": {func(t *testing.T, f *fleet) { f.startGateways(t, 3); start(t, f, 1, stale) }},
		"the seeds stopped as planned": {func(t *testing.T, f *fleet) {
			f.startGateways(t, 4)
			for _, gateway := range f.gateways[:3] {
				if err := gateway.Drain(t.Context()); err != nil {
					t.Fatal(err)
				}
				_ = gateway.Close()
			}
			f.gateways = f.gateways[3:]
			start(t, f, 1, stale)
		}},
		"all were lost, and begin at other addresses": {func(t *testing.T, f *fleet) {
			f.startGateways(t, 4)
			eventually(t, "the store lists them", func() bool { _, ok := f.platform.Store.Get(emulator.SeedsPrefix + "seeds"); return ok })
			for _, gateway := range f.gateways {
				_ = gateway.Close()
			}
			f.gateways = nil
			start(t, f, 4, stale)
		}},
		"the store is away at the start": {func(t *testing.T, f *fleet) {
			f.platform.Store.SetFaults(emulator.StoreFaults{Down: true})
			start(t, f, 4, stale)
			time.AfterFunc(time.Second, func() { f.platform.Store.SetFaults(emulator.StoreFaults{}) })
		}},
		"the store does writes late": {func(t *testing.T, f *fleet) {
			f.platform.Store.SetFaults(emulator.StoreFaults{LateWrites: true})
			start(t, f, 4, stale)
			time.AfterFunc(2*time.Second, func() {
				f.platform.Store.SetFaults(emulator.StoreFaults{})
				f.platform.Store.ApplyLateWrites()
			})
		}},
		"the list is not readable": {func(t *testing.T, f *fleet) {
			f.platform.Store.Put(emulator.SeedsPrefix+"seeds", []byte("{"))
			start(t, f, 3, stale)
		}},
		"a reload with other seeds": {func(t *testing.T, f *fleet) {
			f.platform.Store.RefuseWrites(emulator.SeedsPrefix)
			start(t, f, 2, stale)
			f.awaitReady(t)
			f.gateways[1].Reload(&settings.Gateway{Seeds: []string{f.gateways[0].Addresses().Link}})
		}},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 0)
			test.run(t, f)
			started := time.Now()
			eventually(t, "all gateways hear each other", func() bool { return f.allHeard(t) })
			t.Logf("all %d gateways hear each other after %s; calls to the store: %v", len(f.gateways), time.Since(started).Round(time.Millisecond), f.platform.Store.Calls())
		})
	}
}

// startWithSeeds adds a gateway whose seeds depend on its own address.
func (f *fleet) startWithSeeds(t *testing.T, seeds func(own string) []string) {
	t.Helper()
	address := freePeerAddress(t)
	f.gateways = append(f.gateways, f.startGatewayAt(t, gatewayName(100+len(f.gateways)), address, seeds(address)))
}

// TestGatewaysInTouchListThemselvesOnce guards against calls to the store for the list of seeds on a calm day.
func TestGatewaysInTouchListThemselvesOnce(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 4)
	eventually(t, "the store lists them", func() bool { _, ok := f.platform.Store.Get(emulator.SeedsPrefix + "seeds"); return ok })
	listed, _ := f.platform.Store.Get(emulator.SeedsPrefix + "seeds")
	eventually(t, "a checkpoint was written", func() bool { _, ok := f.platform.Store.Get("capersaddle/placements"); return ok })
	later, _ := f.platform.Store.Get(emulator.SeedsPrefix + "seeds")
	is.Equal(later.Revision, listed.Revision)
}

// freePeerAddress returns an address for peers that is not in use.
func freePeerAddress(t *testing.T) string {
	t.Helper()
	conn, err := net.ListenPacket("udp", peerHost+":0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	return conn.LocalAddr().String()
}
