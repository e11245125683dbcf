package balance_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/capersaddle/capersaddle/internal/balance"
)

// TestLeftAsPlanned checks that a version's targets have left as planned only if each of them
// announced it; a loss does not count.
func TestLeftAsPlanned(t *testing.T) {
	now := time.Now()
	target := func(id, version string, leaving bool) balance.Target {
		return balance.Target{ID: id, Service: "s", Version: version, Address: id, Leaving: leaving}
	}
	cases := map[string]struct {
		prepare func(b *balance.Balancer)
		left    bool
	}{
		"no known target":       {func(*balance.Balancer) {}, false},
		"serving":               {func(b *balance.Balancer) { b.Put(target("a", "v1", false), now) }, false},
		"leaving by entry":      {func(b *balance.Balancer) { b.Put(target("a", "v1", true), now) }, true},
		"another target serves": {func(b *balance.Balancer) { b.Put(target("a", "v1", true), now); b.Put(target("b", "v1", false), now) }, false},
		"another version serves": {func(b *balance.Balancer) {
			b.Put(target("a", "v1", true), now)
			b.Put(target("b", "v2", false), now)
		}, true},
		"leaving by answer": {func(b *balance.Balancer) {
			b.Put(target("a", "v1", false), now)
			b.ObserveNotice("a", balance.Notice{Leaving: true}, now)
		}, true},
		"unlisted after leaving by entry": {func(b *balance.Balancer) {
			b.Put(target("a", "v1", true), now)
			b.Drop("a", now)
		}, false}, // the target is forgotten; the record of its planned leave existed before
		"unlisted": {func(b *balance.Balancer) {
			b.Put(target("a", "v1", false), now)
			b.Drop("a", now)
		}, false},
		"invalid entry": {func(b *balance.Balancer) {
			b.Put(target("a", "v1", false), now)
			b.SetUnusable("a")
		}, false},
		"refused connection": {func(b *balance.Balancer) {
			b.Put(target("a", "v1", false), now)
			b.NoteSilentPort("a", now)
		}, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			b := balance.New(balance.DefaultOptions())
			tc.prepare(b)
			is.New(t).Equal(b.LeftAsPlanned("s", balance.Versions{Excluded: []string{"v2"}}), tc.left)
		})
	}
}
