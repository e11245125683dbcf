package soak

import (
	"bytes"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/capersaddle/capersaddle/internal/emulator"
)

// TestOddEntriesAndLargeChanges guards against gateways that end, or no longer follow the store, when
// another writer has left odd entries or many large ones.
func TestOddEntriesAndLargeChanges(t *testing.T) {
	binary := buildBinary(t)
	cases := map[string]func(s *soak){
		"odd entries": (*soak).putOddEntries,
		"24 MB of changes in one answer": func(s *soak) {
			s.putLargeValues("servers/large-%d", 24, false)
		},
		"24 MB of random changes in one answer": func(s *soak) {
			s.putLargeValues("servers/large-%d", 24, true)
		},
		"24 MB under keys of others": func(s *soak) {
			s.putLargeValues("another/large-%d", 24, true)
		},
		"the same key 40 times, a megabyte each": func(s *soak) {
			s.putLargeValues("capersaddle/placements", 40, true)
		},
	}
	usual := endsRun(t, binary, "nothing", func(*soak) {}).peak
	for name, begin := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			result := endsRun(t, binary, name, func(s *soak) {
				begin(s)
				s.moveTargets()
			})
			is.True(result.peak <= usual+memoryRise)
			is.True(result.served >= minServed)
		})
	}
}

// putLargeValues writes values of a megabyte at once, under keys with a number or under one key.
func (s *soak) putLargeValues(key string, count int, random bool) {
	// The store is silent meanwhile, so that all changes are in one answer.
	s.platform.Store.SetFaults(emulator.StoreFaults{Silent: true})
	time.Sleep(100 * time.Millisecond)
	rng := rand.NewChaCha8([32]byte{byte(s.seed)})
	for i := range count {
		value := bytes.Repeat([]byte(`{"service":"plain"}`), 1<<20/19)
		if random {
			_, _ = rng.Read(value) // never fails
		}
		name := key
		if strings.Contains(key, "%d") {
			name = fmt.Sprintf(key, i)
		}
		s.platform.Store.Put(name, value)
	}
	s.platform.Store.SetFaults(emulator.StoreFaults{})
}

// moveTargets replaces all servers of the plain service by others: gateways that don't follow the store
// any more go on sending to those that are gone.
func (s *soak) moveTargets() {
	time.Sleep(time.Second)
	is := is.New(s.t)
	var old []*emulator.Server
	for _, server := range s.servers {
		if strings.HasPrefix(server.ID(), "plain-") {
			old = append(old, server)
		}
	}
	for i := range endsServers {
		server, err := s.platform.AddServer("plain", "dc", "127.0.0.1:0", emulator.ServerOptions{ID: fmt.Sprintf("plain-new-%d", i), Work: work})
		is.NoErr(err)
		s.servers = append(s.servers, server)
	}
	time.Sleep(2 * time.Second)
	for _, server := range old {
		s.platform.Leave(server)
		_ = server.Close()
	}
}

// oddValues are values that a key of the store may hold when another writer has written it.
func oddValues() map[string]string {
	entry := func(replace, with string) string {
		const sound = `{"service":"plain","address":"127.0.0.1:9","zone":"dc","version":"v1","slots":8,"state":"ready","cold_remaining_ms":0,"sequence":1}`
		return strings.Replace(sound, replace, with, 1)
	}
	values := map[string]string{"empty": "", "not JSON": "<html>", "null": "null", "an array": "[]"}
	for _, depth := range []int{9_000, 11_000, 150_000, 400_000} {
		values[fmt.Sprint("arrays ", depth)] = strings.Repeat("[", depth) + strings.Repeat("]", depth)
		values[fmt.Sprint("objects ", depth)] = strings.Repeat(`{"a":`, depth) + "1" + strings.Repeat("}", depth)
		values[fmt.Sprint("nested version ", depth)] = entry(`"v1"`, strings.Repeat("[", depth)+strings.Repeat("]", depth))
		values[fmt.Sprint("nested models ", depth)] = entry(`"sequence":1`, `"sequence":1,"models":`+strings.Repeat(`[`, depth)+strings.Repeat(`]`, depth))
		values[fmt.Sprint("unclosed ", depth)] = strings.Repeat("[", depth)
	}
	const maxValue = 1 << 20 // of the platform's store
	maps.DeleteFunc(values, func(_, value string) bool { return len(value) > maxValue })
	for _, number := range []string{"-1", "1e18", "9223372036854775807", "9223372036854775808", "1e19", "1e308", "1e309", "1e999999999", "2147483647", "-1e308", "0.5"} {
		values["slots "+number] = entry(`"slots":8`, `"slots":`+number)
		values["cold "+number] = entry(`"cold_remaining_ms":0`, `"cold_remaining_ms":`+number)
		values["sequence "+number] = entry(`"sequence":1`, `"sequence":`+number)
		values["born "+number] = entry(`"sequence":1`, `"sequence":1,"born":`+number)
		values["version "+number] = entry(`"v1"`, number)
	}
	for _, port := range []string{"0", "-1", "65536", "99999999999999999999", "1e3", ""} {
		values["port "+port] = entry("127.0.0.1:9", "127.0.0.1:"+port)
	}
	return values
}

// putOddEntries writes odd values under keys of every kind.
func (s *soak) putOddEntries() {
	prefixes := []string{"servers/odd-", "op/evacuate/odd-", "op/rollout/odd-", "op/odd-", "capersaddle/rollout/odd-", "capersaddle/crashes/odd-", "capersaddle/odd-", "status/rollout/odd-", "odd-"}
	values := oddValues()
	names := slices.Sorted(maps.Keys(values))
	for i, name := range names {
		for _, prefix := range prefixes {
			s.platform.Store.Put(fmt.Sprint(prefix, i), []byte(values[name]))
		}
		time.Sleep(10 * time.Millisecond) // so that they don't all come in one answer
	}
	for _, key := range []string{"capersaddle/placements", "capersaddle/gateways"} {
		for _, name := range names {
			s.platform.Store.Put(key, []byte(values[name]))
		}
	}
}
