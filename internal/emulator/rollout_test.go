package emulator

import (
	"context"
	"net/http"
	"runtime"
	"testing"
	"time"

	"github.com/matryer/is"
)

// ask sends a request with the given ID to a server and returns the response status, or 0 on
// failure.
func ask(t *testing.T, server *Server, id, path string) int {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+server.Address()+path, nil)
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("X-Attempt-Id", id)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

func TestBadVersions(t *testing.T) {
	cases := map[string]struct {
		bad      *Bad
		path     string
		inFlight int
		mode     Mode
		slower   float64
	}{
		"good":                 {nil, "/a/1", 1, Sound, 1},
		"errors":               {&Bad{Share: 1}, "/a/1", 1, Error, 1},
		"cuts":                 {&Bad{Share: 1, Fails: CutMiddle}, "/a/1", 1, CutMiddle, 1},
		"slow":                 {&Bad{Slower: 4}, "/a/1", 1, Sound, 4},
		"matching path":        {&Bad{Share: 1, Path: "/a/"}, "/a/1", 1, Error, 1},
		"other path":           {&Bad{Share: 1, Slower: 4, Path: "/b/"}, "/a/1", 1, Sound, 1},
		"not started yet":      {&Bad{Share: 1, Slower: 4, After: time.Hour}, "/a/1", 1, Sound, 1},
		"above the load limit": {&Bad{Share: 1, Above: 3}, "/a/1", 4, Error, 1},
		"at the load limit":    {&Bad{Share: 1, Slower: 4, Above: 3}, "/a/1", 3, Sound, 1},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			mode, slower := newFlaw(tc.bad, "i").apply(Run{URI: tc.path}, tc.inFlight)
			is.Equal(mode, tc.mode)
			is.Equal(slower, tc.slower)
		})
	}
}

// TestFlawDrawsAreSeeded checks that a flaw hits its share of the requests, the same ones in
// each run, and different ones for another server or seed.
func TestFlawDrawsAreSeeded(t *testing.T) {
	is := is.New(t)
	failedRequests := func(id string, seed uint64) (failed []int) {
		f := newFlaw(&Bad{Share: 0.3, Seed: seed}, id)
		for i := range 1000 {
			if mode, _ := f.apply(Run{}, 1); mode == Error {
				failed = append(failed, i)
			}
		}
		return failed
	}
	first := failedRequests("i-1", 7)
	is.True(len(first) > 250 && len(first) < 350)
	is.Equal(failedRequests("i-1", 7), first)
	for _, other := range [][]int{failedRequests("i-2", 7), failedRequests("i-1", 8)} {
		is.True(len(other) != len(first) || other[0] != first[0] || other[9] != first[9])
	}
}

func TestServerTurnBad(t *testing.T) {
	is := is.New(t)
	server, err := NewServer("127.0.0.1:0", ServerOptions{ID: "i"})
	is.NoErr(err)
	defer func() { is.NoErr(server.Close()) }()
	is.Equal(ask(t, server, "r1", "/a/1"), http.StatusOK)
	server.TurnBad(&Bad{Share: 1, Path: "/a/"})
	is.Equal(ask(t, server, "r2", "/a/1"), http.StatusInternalServerError)
	is.Equal(ask(t, server, "r3", "/b/1"), http.StatusOK)
	server.TurnBad(nil)
	is.Equal(ask(t, server, "r4", "/a/1"), http.StatusOK)
}

// TestPlayStopsServersByRolloutState checks that Play stops the servers of the losing version,
// but only once the status reports the end of its own order, not that of an earlier one.
func TestPlayStopsServersByRolloutState(t *testing.T) {
	cases := map[string]struct {
		state     string
		remaining []string
	}{
		"completed":   {StateCompleted, []string{"s-new"}},
		"rolled back": {StateRolledBack, []string{"s-old"}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			platform, err := New("127.0.0.1:0")
			is.NoErr(err)
			defer func() { is.NoErr(platform.Close()) }()
			for id, version := range map[string]string{"old": "v1", "new": "v2"} {
				for _, service := range []string{"s", "t"} {
					_, err := platform.AddServer(service, "zone", "127.0.0.1:0", ServerOptions{ID: service + "-" + id, Version: version, Weights: 1})
					is.NoErr(err)
				}
			}
			write := func(state string) {
				platform.Store.Put("status/rollout/s", []byte(`{"state":"`+state+`","target_version":"v2"}`))
			}
			write(StateCompleted) // of an earlier order
			ended := make(chan string, 1)
			before := platform.Store.nextChange()
			go func() {
				state, err := platform.Play(t.Context(), Rollout{Service: "s", Version: "v2", Duration: time.Minute})
				if err != nil {
					t.Error(err)
				}
				ended <- state
			}()
			<-before
			write(StateRunning)
			is.Equal(len(platform.serversOf("s", anyVersion)), 2)
			write(tc.state)
			is.Equal(<-ended, tc.state)
			var remaining []string
			for _, server := range platform.serversOf("s", anyVersion) {
				if _, listed := platform.Store.Get("servers/" + server.ID()); listed {
					is.Equal(ask(t, server.Server, "r", "/"), http.StatusOK)
					remaining = append(remaining, server.ID())
				} else {
					is.Equal(ask(t, server.Server, "r", "/"), 0) // it no longer listens
				}
			}
			is.Equal(remaining, tc.remaining)
			_, other := platform.Store.Get("servers/t-old")
			is.True(other) // of another service
		})
	}
}

func anyVersion(string) bool { return true }

func TestPlayReturnsOnCanceledContext(t *testing.T) {
	is := is.New(t)
	platform, err := New("127.0.0.1:0")
	is.NoErr(err)
	defer func() { is.NoErr(platform.Close()) }()
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err = platform.Play(ctx, Rollout{Service: "s", Version: "v2", Duration: time.Minute})
	is.True(err != nil)
	_, known, err := platform.Status("s")
	is.NoErr(err)
	is.True(!known)
	platform.Withdraw("s")
	_, ordered := platform.Store.Get("op/rollout/s")
	is.True(!ordered)
}

func TestTransactions(t *testing.T) {
	const ownKey, operatorKey = "capersaddle/rollout/s", "op/rollout/s"
	cases := map[string]struct {
		body   transactionBody
		status int
		done   bool
	}{
		"expected revisions match": {transactionBody{Expected: []expected{{operatorKey, 1}, {ownKey, 0}}, Put: []put{{Key: ownKey}}}, http.StatusOK, true},
		"order changed":            {transactionBody{Expected: []expected{{operatorKey, 2}, {ownKey, 0}}, Put: []put{{Key: ownKey}}}, http.StatusPreconditionFailed, false},
		"record changed":           {transactionBody{Expected: []expected{{operatorKey, 1}, {ownKey, 1}}, Put: []put{{Key: ownKey}}}, http.StatusPreconditionFailed, false},
		"order withdrawn":          {transactionBody{Expected: []expected{{operatorKey, 0}}, Put: []put{{Key: ownKey}}}, http.StatusPreconditionFailed, false},
		"put operator's key":       {transactionBody{Put: []put{{Key: ownKey}, {Key: operatorKey}}}, http.StatusForbidden, false},
		"put server's key":         {transactionBody{Put: []put{{Key: ownKey}, {Key: "servers/i"}}}, http.StatusForbidden, false},
		"remove operator's key":    {transactionBody{Put: []put{{Key: ownKey}}, Remove: []string{operatorKey}}, http.StatusForbidden, false},
		"unknown lease":            {transactionBody{Put: []put{{Key: ownKey, Lease: 4}}}, http.StatusNotFound, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			store := NewStore()
			is.Equal(store.Put(operatorKey, []byte("{}")), int64(1))
			status, _, lost := store.transactWithFaults(&tc.body)
			is.True(!lost)
			is.Equal(status, tc.status)
			_, done := store.Get(ownKey)
			is.Equal(done, tc.done)
			_, kept := store.Get(operatorKey)
			is.True(kept)
		})
	}
}

// newCallers returns callers of two servers and of one address on which nothing listens.
func newCallers(t *testing.T) (*Callers, []*Server) {
	t.Helper()
	callers := &Callers{Host: "demo.example", Key: "key", Paths: []string{"/pay/1", "/ask/1"}, Every: time.Millisecond}
	var servers []*Server
	for _, id := range []string{"i-1", "i-2"} {
		server, err := NewServer("127.0.0.1:0", ServerOptions{ID: id, Bad: &Bad{Share: 1, Path: "/ask/"}})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = server.Close() })
		servers = append(servers, server)
		callers.Addresses = append(callers.Addresses, server.Address())
	}
	callers.Addresses = append(callers.Addresses, "127.0.0.1:1")
	return callers, servers
}

// TestCallersRoundRobin checks that each gateway gets requests on each path, and that failures
// are counted only once the gateway has answered a request successfully.
func TestCallersRoundRobin(t *testing.T) {
	is := is.New(t)
	callers, servers := newCallers(t)
	const rounds = 4
	servers[1].Misbehave(Shed, 1) // it is not ready yet
	for number := range rounds * len(callers.Addresses) {
		callers.count(callers.call(http.DefaultClient, number))
	}
	for _, server := range servers {
		paths := make(map[string]int)
		for _, run := range server.Runs() {
			paths[run.URI]++
		}
		is.Equal(paths, map[string]int{"/pay/1": 2, "/ask/1": 2})
	}
	sent, failed := callers.Counts()
	is.Equal(sent, int64(4+2)) // the second server is ready from its third request on
	is.Equal(failed, int64(2+1))
}

func TestCallersStopWithContext(t *testing.T) {
	is := is.New(t)
	callers, servers := newCallers(t)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		callers.Run(ctx)
	}()
	for len(servers[0].Runs()) < 4 || len(servers[1].Runs()) < 4 {
		runtime.Gosched()
	}
	cancel()
	<-ended
	sent, _ := callers.Counts()
	is.True(sent > 0)
}
