package balance_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/capersaddle/capersaddle/internal/balance"
	"github.com/capersaddle/capersaddle/internal/policy"
)

func withSlots(count, slots int) *balance.Balancer {
	b := balance.New(balance.DefaultOptions())
	for i := range count {
		made := target(i)
		made.Slots = slots
		b.Put(made, start)
	}
	return b
}

func TestRoom(t *testing.T) {
	cases := map[string]struct {
		slots        int
		hold, wanted time.Duration
		taken        int
		want         int
	}{
		"times unknown":          {slots: 8, want: 20},
		"long requests":          {slots: 8, hold: 2 * time.Second, wanted: 400 * time.Millisecond, want: 16},
		"short requests":         {slots: 8, hold: 20 * time.Millisecond, wanted: 100 * time.Millisecond, want: 36},
		"at most three per slot": {slots: 8, hold: time.Millisecond, wanted: time.Second, want: 48},
		"requests in flight":     {slots: 8, hold: 2 * time.Second, wanted: 400 * time.Millisecond, taken: 5, want: 11},
		"slots unknown":          {want: 100},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := withSlots(2, tc.slots)
			if tc.hold > 0 {
				b.NoteHold("s", tc.hold, tc.wanted)
			}
			for range tc.taken {
				_, ok := b.Choose(balance.Query{Service: "s"}, start)
				is.True(ok)
			}
			is.Equal(b.Room("s", balance.Versions{}, 100, start), tc.want)
		})
	}
}

func TestRoomWithoutTargets(t *testing.T) {
	is := is.New(t)
	is.Equal(balance.New(balance.DefaultOptions()).Room("s", balance.Versions{}, 7, start), 7) // Choose reports that none is open
}

func TestReportedSlots(t *testing.T) {
	is := is.New(t)
	b := newBalancer(1)
	b.NoteLoad("t0", balance.Load{Slots: 4}, start)
	is.Equal(b.Room("s", balance.Versions{}, 100, start), 5)
	b.NoteLoad("unknown", balance.Load{Slots: 4}, start)
}

// TestFullTargetIsSkipped checks that a session's holder that is full gets no more requests
// while others have room.
func TestFullTargetIsSkipped(t *testing.T) {
	is := is.New(t)
	b := withSlots(3, 4)
	home, _ := b.Choose(session(1), start)
	b.Confirm(home.Target.ID, session(1))
	b.Observe("other", []balance.Count{{Target: policy.HashName(home.Target.ID), Count: 4}}, start)
	spilled, _ := b.Choose(session(1), start)
	is.True(spilled.Target.ID != home.Target.ID)
}

// BenchmarkRoom measures Room among targets of which most are full.
func BenchmarkRoom(b *testing.B) {
	for _, count := range []int{50, 1900} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			balancer := withSlots(count, 1)
			for range count {
				balancer.Choose(balance.Query{Service: "s"}, start)
			}
			b.ReportAllocs()
			for b.Loop() {
				balancer.Room("s", balance.Versions{}, 10, start)
			}
		})
	}
}
