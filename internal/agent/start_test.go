package agent

import (
	"context"
	"fmt"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"

	"github.com/capersaddle/capersaddle/internal/admission"
	"github.com/capersaddle/capersaddle/internal/config"
	"github.com/capersaddle/capersaddle/internal/external/fakestore"
	"github.com/capersaddle/capersaddle/internal/link"
	"github.com/capersaddle/capersaddle/internal/member"
	"github.com/capersaddle/capersaddle/internal/once"
	"github.com/capersaddle/capersaddle/internal/target/fakeservice"
	"github.com/capersaddle/capersaddle/internal/wire"
)

type virtualClock struct{ start time.Time }

func (c virtualClock) Wall() time.Time     { return time.Now() }
func (c virtualClock) Boot() time.Duration { return time.Since(c.start) + time.Hour }

// newFleet returns n agents of one service that know each other.
func newFleet(n int, store *fakestore.Store, network *link.Memory) []*Agent {
	clock := virtualClock{start: time.Now()}
	var members []*wire.Member
	for i := range n {
		id := fmt.Sprintf("host-%03d", i)
		members = append(members, &wire.Member{
			Id: id, Role: member.RoleAgent, DataCenter: fmt.Sprint(i % 3), LinkAddress: id, Incarnation: 1,
			Standing: wire.Standing_STANDING_ALIVE, Session: "1",
			Targets: []*wire.TargetState{{Id: "t-" + id, Pool: "topup", Service: true}},
		})
	}
	var agents []*Agent
	for _, m := range members {
		list := member.NewList(member.DefaultOptions(), &wire.Member{Id: m.GetId(), Role: m.GetRole(), DataCenter: m.GetDataCenter(), LinkAddress: m.GetLinkAddress(), Incarnation: 1, Session: "1"})
		list.Merge(members)
		a := New(Options{
			ID: m.GetId(), Session: "1", DataCenter: m.GetDataCenter(),
			Targets:   []Target{{ID: "t-" + m.GetId(), Pool: "topup", Service: fakeservice.New(m.GetId(), nil)}},
			Admission: admission.DefaultOptions(), Once: once.DefaultOptions(),
			Members: list, Config: config.NewState(), Store: store, Dialer: network.From(m.GetId()), Clock: clock, Log: log.New(io.Discard),
		})
		network.Serve(m.GetId(), a.Handle)
		agents = append(agents, a)
	}
	return agents
}

// TestSimultaneousStartStaysWithinStoreRate checks that sixty agents of one service that
// start at once distribute 64 slots within the store's rate limit of 100 writes and 2,000
// reads a second.
func TestSimultaneousStartStaysWithinStoreRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := fakestore.New()
		store.SetRates(2000, 100)
		network := link.NewMemory()
		agents := newFleet(60, store, network)
		for _, a := range agents {
			is.NoErr(a.Start(context.Background()))
		}
		start := time.Now()
		owned := 0
		for owned < 64 {
			time.Sleep(500 * time.Millisecond)
			owned = 0
			for _, a := range agents {
				owned += a.slotManagers["topup"].guard.OwnedSlots()
			}
			is.True(time.Since(start) < 3*time.Minute)
		}
		elapsed := time.Since(start)
		counts := store.Counts()
		t.Logf("all slots owned after %v, %d writes, %d reads", elapsed, counts.Writes, counts.Reads)
		is.True(float64(counts.Writes)/elapsed.Seconds() < 100)
		before := store.Counts()
		time.Sleep(10 * time.Minute)
		after := store.Counts()
		t.Logf("in steady state: %.2f writes/s, %.2f reads/s", float64(after.Writes-before.Writes)/600, float64(after.Reads-before.Reads)/600)
		for _, a := range agents {
			is.NoErr(a.Close())
		}
		is.NoErr(network.Close())
	})
}
