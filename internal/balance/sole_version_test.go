package balance_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/capersaddle/capersaddle/internal/balance"
)

// TestSoleVersionAfterLeave guards against a version that counts as the only one while targets of another version may
// still serve, and against one that never counts as such again.
func TestSoleVersionAfterLeave(t *testing.T) {
	const span = 10 * time.Second
	start := time.Unix(1_000_000, 0)
	targetOf := func(id, version string) balance.Target {
		return balance.Target{ID: id, Service: "s", Address: id, Version: version}
	}
	cases := map[string]struct {
		// change happens to the target "a" of version v1, beside "b" of version v2.
		change func(b *balance.Balancer, now time.Time)
		// mixed are times after it at which v2 is not the only version, and sole those at which it is.
		mixed, sole []time.Duration
	}{
		"still listed": {
			func(*balance.Balancer, time.Time) {},
			[]time.Duration{0, time.Hour},
			nil,
		},
		"left as announced": {
			func(b *balance.Balancer, now time.Time) {
				leaving := targetOf("a", "v1")
				leaving.Leaving = true
				b.Put(leaving, now)
				b.Drop("a", now)
			},
			[]time.Duration{0, span},
			[]time.Duration{span + 1, time.Hour},
		},
		"left unannounced": {
			func(b *balance.Balancer, now time.Time) { b.Drop("a", now) },
			[]time.Duration{0, span, 2 * span, time.Minute, time.Minute + span},
			[]time.Duration{time.Minute + span + 1, time.Hour},
		},
		"left unannounced, another one leaves later": {
			func(b *balance.Balancer, now time.Time) {
				b.Drop("a", now)
				b.Put(targetOf("c", "v2"), now)
				b.Drop("c", now.Add(time.Minute)) // "a" is forgotten then
			},
			[]time.Duration{time.Minute, time.Minute + span},
			[]time.Duration{time.Minute + span + 1},
		},
		"began again at the other version": {
			func(b *balance.Balancer, now time.Time) { b.Put(targetOf("a", "v2"), now) },
			[]time.Duration{0, span},
			[]time.Duration{span + 1},
		},
		"restored, without an entry": {
			func(b *balance.Balancer, now time.Time) {
				b.Put(targetOf("a", "v2"), now.Add(-time.Hour))
				b.Restore([]balance.Target{targetOf("c", "v1")}, now)
			},
			[]time.Duration{0, span, time.Minute + span},
			[]time.Duration{time.Minute + span + 1},
		},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := balance.New(balance.DefaultOptions())
			b.Put(targetOf("a", "v1"), start)
			b.Put(targetOf("b", "v2"), start)
			now := start.Add(2 * time.Hour)
			tc.change(b, now)
			for _, after := range tc.mixed {
				_, sole := b.SoleVersion("s", span, now.Add(after))
				is.True(!sole)
			}
			for _, after := range tc.sole {
				version, sole := b.SoleVersion("s", span, now.Add(after))
				is.True(sole)
				is.Equal(version, "v2")
			}
		})
	}
}
