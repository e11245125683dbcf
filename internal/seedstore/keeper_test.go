package seedstore

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"github.com/capersaddle/capersaddle/internal/rapidseed"
)

func TestMain(m *testing.M) {
	rapidseed.Fix()
	goleak.VerifyTestMain(m)
}

// memoryStore holds a list. All keepers that use it learn of each change after a delay, as from a watch.
type memoryStore struct {
	mu      sync.Mutex
	list    List
	calls   int
	err     error
	loses   bool // whether answers get lost
	keepers []*Keeper
	delay   time.Duration
}

func (m *memoryStore) SaveSeeds(_ context.Context, addresses []string, revision int64) (List, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.calls++
	if m.err != nil {
		return List{}, m.err
	}
	if revision != m.list.Revision {
		return m.list, ErrOutdated
	}
	m.list = List{Addresses: addresses, Revision: revision + 1}
	list := m.list
	for _, keeper := range m.keepers {
		time.AfterFunc(m.delay, func() { keeper.Set(list, list.Revision) })
	}
	if m.loses {
		return List{}, errors.New("the answer was lost")
	}
	return list, nil
}

// gateways are keepers of one store that hear each other once they know a listed address of the group.
type gateways struct {
	store *memoryStore
	mu    sync.Mutex
	// groups holds, by address, the number of the group that hears each other.
	groups map[string]int
	// cut holds the addresses that can't be contacted.
	cut map[string]bool
}

func newGateways() *gateways {
	return &gateways{store: &memoryStore{delay: 30 * time.Millisecond}, groups: make(map[string]int), cut: make(map[string]bool)}
}

// contactDelay is the delay between learning an address and the first heartbeat from its gateway.
const contactDelay = 20 * time.Millisecond

// add starts the keeper of a gateway that hears no other one.
func (g *gateways) add(t *testing.T, address string, order float64) *Keeper {
	g.mu.Lock()
	g.groups[address] = len(g.groups) + 1
	g.mu.Unlock()
	keeper := New(Options{
		Address: address, Order: order, Store: g.store,
		IsWriter: func() bool { return g.isFirst(address) },
		Heard:    func() []string { return g.heard(address) },
		OnList:   func(addresses []string) { time.AfterFunc(contactDelay, func() { g.contact(address, addresses) }) },
		OnSave:   func([]string, error) {},
	})
	g.store.mu.Lock()
	g.store.keepers = append(g.store.keepers, keeper)
	list := g.store.list
	g.store.mu.Unlock()
	if list.Revision > 0 {
		keeper.Set(list, list.Revision)
	}
	if err := keeper.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	return keeper
}

// contact joins the groups of a gateway and of those that it contacts.
func (g *gateways) contact(own string, addresses []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, address := range addresses {
		other, runs := g.groups[address]
		if !runs || g.cut[address] || g.cut[own] {
			continue
		}
		for member, group := range g.groups {
			if group == other {
				g.groups[member] = g.groups[own]
			}
		}
	}
}

func (g *gateways) heard(own string) []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	var addresses []string
	for address, group := range g.groups {
		if address != own && group == g.groups[own] {
			addresses = append(addresses, address)
		}
	}
	slices.Sort(addresses)
	return addresses
}

func (g *gateways) isFirst(own string) bool {
	heard := g.heard(own)
	return len(heard) == 0 || own < heard[0]
}

// groupCount returns the number of groups that don't hear each other.
func (g *gateways) groupCount() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	groups := make(map[int]bool)
	for _, group := range g.groups {
		groups[group] = true
	}
	return len(groups)
}

// TestGatewaysFindEachOther guards against groups of gateways that never hear each other, and against one
// call to the store for each of many that start together.
func TestGatewaysFindEachOther(t *testing.T) {
	cases := map[string]struct {
		count    int
		prepare  func(g *gateways)
		maxCalls int
		maxLen   int
	}{
		"one":           {1, func(*gateways) {}, 1, 1},
		"two":           {2, func(*gateways) {}, 3, 2},
		"eight":         {8, func(*gateways) {}, 6, 8},
		"three hundred": {300, func(*gateways) {}, 30, 8},
		"the listed are gone": {8, func(g *gateways) {
			g.store.list = List{Addresses: []string{"x", "y", "z", "u", "v", "w", "r", "s"}, Revision: 9}
		}, 6, 8},
		"answers are lost": {8, func(g *gateways) { g.store.loses = true }, 8, 8},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				g := newGateways()
				test.prepare(g)
				var keepers []*Keeper
				for i := range test.count {
					keepers = append(keepers, g.add(t, fmt.Sprintf("g%03d", i), float64(i)/float64(test.count)))
				}
				time.Sleep(3 * time.Second)
				is.Equal(g.groupCount(), 1)
				time.Sleep(10 * time.Second)
				g.store.mu.Lock()
				calls, list := g.store.calls, g.store.list
				g.store.mu.Unlock()
				t.Logf("%d calls to the store", calls)
				is.True(calls <= test.maxCalls)
				is.True(len(list.Addresses) <= test.maxLen)
				for _, keeper := range keepers {
					is.NoErr(keeper.Close())
				}
			})
		})
	}
}

// TestGroupsThatAreCutOffStayListed guards against groups that replace each other's addresses while they are
// cut off from each other, so that they don't find each other afterwards.
func TestGroupsThatAreCutOffStayListed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newGateways()
		g.cut["b"] = true
		one, two := g.add(t, "a", 0), g.add(t, "b", 0.5)
		time.Sleep(10 * time.Minute)
		g.store.mu.Lock()
		is.Equal(g.store.calls, 2)
		listed := slices.Sorted(slices.Values(g.store.list.Addresses))
		g.store.mu.Unlock()
		is.Equal(listed, []string{"a", "b"})
		is.NoErr(one.Close())
		is.NoErr(two.Close())
	})
}

// TestStoreThatRefusesIsNotPressed guards against a call in each check while the store refuses them, and
// against a list that stays unwritten once it doesn't.
func TestStoreThatRefusesIsNotPressed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newGateways()
		g.store.err = errors.New("refused")
		keeper := g.add(t, "a", 0)
		time.Sleep(time.Minute)
		g.store.mu.Lock()
		is.True(g.store.calls <= int(time.Minute/maxRetryDelay)+5)
		g.store.err = nil
		g.store.mu.Unlock()
		time.Sleep(3 * time.Second)
		g.store.mu.Lock()
		is.Equal(g.store.list.Addresses, []string{"a"})
		g.store.mu.Unlock()
		is.NoErr(keeper.Close())
	})
}

// TestOldListsAreIgnored checks that a list that was read earlier doesn't replace a later one.
func TestOldListsAreIgnored(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		keeper := New(Options{Address: "own", OnList: func([]string) {}})
		latest := int64(0)
		for _, at := range rapid.SliceOf(rapid.Int64Range(1, 20)).Draw(t, "revisions") {
			keeper.Set(List{Addresses: []string{fmt.Sprint(at)}, Revision: at}, at)
			latest = max(latest, at)
		}
		if latest > 0 && keeper.current().Revision != latest {
			t.Fatalf("holds revision %d, want %d", keeper.current().Revision, latest)
		}
	})
}
