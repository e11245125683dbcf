package process_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/capersaddle/capersaddle/internal/emulator"
)

// TestEvacuationReachesAllGateways checks that an evacuation is in force at running gateways and
// at one that starts meanwhile without the store, until it is reverted.
func TestEvacuationReachesAllGateways(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 3)
	other, err := f.platform.AddServer("plain", "other", "127.0.0.1:0", emulator.ServerOptions{ID: "p-other"})
	is.NoErr(err)
	loggedBy := func(event string, gateways int) func() bool {
		return func() bool { return strings.Count(f.log.String(), `"msg":"`+event+`"`) == gateways }
	}
	ask := func(gateway int) answer {
		return f.call(gateway, http.MethodPost, "/ask/1", fmt.Sprintf("ask-%d-%d", gateway, len(other.Runs())), "key-1")
	}
	f.platform.Evacuate("zone", true)
	eventually(t, "all gateways have logged the evacuation", loggedBy("data_center_evacuated", 3))
	f.platform.Store.SetFaults(emulator.StoreFaults{Down: true})
	f.gateways = append(f.gateways, f.startGateway(t, "late", []string{f.gateways[0].Addresses().Link}))
	eventually(t, "the new gateway is ready", f.gateways[3].Ready)
	for i := range f.gateways {
		for range 6 {
			is.Equal(ask(i).status, http.StatusOK)
		}
	}
	for _, server := range f.plain {
		is.Equal(len(server.Runs()), 0)
	}
	is.Equal(len(other.Runs()), 6*len(f.gateways))
	f.platform.Store.SetFaults(emulator.StoreFaults{})
	f.platform.Evacuate("other", true)
	eventually(t, "all gateways have logged the second evacuation", loggedBy("data_center_evacuated", 8))
	refused := ask(0)
	is.Equal(refused.status, http.StatusServiceUnavailable) // refused without delay, with a Retry-After header
	is.True(refused.header.Get("Retry-After") != "")
	is.Equal(len(other.Runs()), 6*len(f.gateways))
	f.platform.Evacuate("zone", false)
	eventually(t, "all gateways have logged the end of the evacuation", loggedBy("data_center_returned", 4))
	is.Equal(ask(0).status, http.StatusOK)
	is.Equal(len(other.Runs()), 6*len(f.gateways))
}
