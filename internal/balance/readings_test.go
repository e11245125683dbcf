package balance_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/capersaddle/capersaddle/internal/balance"
	"github.com/capersaddle/capersaddle/internal/policy"
)

// amongMany is a balancer of targets among so many gateways that it goes by
// readings.
func amongMany(count int) *balance.Balancer {
	b := newBalancer(count)
	b.SetPeers(102)
	return b
}

// readingOf is a reading of target i.
func readingOf(i, load int, at time.Time) balance.Reading {
	return balance.Reading{Target: short(fmt.Sprintf("t%d", i)), Load: load, At: at}
}

// loadOf is the load that a choice sees at target i of so many.
func loadOf(b *balance.Balancer, i, count int, now time.Time) int {
	var others []string
	for other := range count {
		if other != i {
			others = append(others, fmt.Sprintf("t%d", other))
		}
	}
	pick, _ := b.Choose(balance.Query{Service: "s", Exclude: others}, now)
	b.Release(pick.Target.ID, balance.Neutral, now)
	return pick.Load
}

func TestWhatReadingsSay(t *testing.T) {
	const count = 4
	cases := map[string]struct {
		readings []balance.Reading
		at       time.Duration
		load     int
	}{
		"a fresh one":                      {[]balance.Reading{readingOf(0, 12, start), readingOf(1, 0, start), readingOf(2, 0, start)}, 0, 12},
		"one as old as a request stays":    {[]balance.Reading{readingOf(0, 12, start), readingOf(1, 0, start), readingOf(2, 0, start)}, time.Second, int(math.Round(4 + 8/math.E))},
		"one so old that the mean is best": {[]balance.Reading{readingOf(0, 12, start), readingOf(1, 3, start.Add(3*time.Second)), readingOf(2, 3, start.Add(3*time.Second))}, 3 * time.Second, 3},
		"none of this target":              {[]balance.Reading{readingOf(1, 6, start), readingOf(2, 2, start)}, 0, 4},
		"too few targets read":             {[]balance.Reading{readingOf(1, 6, start)}, 0, 0},
		"an older one that comes later":    {[]balance.Reading{readingOf(0, 12, start), readingOf(0, 1, start.Add(-time.Second)), readingOf(1, 0, start)}, 0, 12},
		"of a target that is not known":    {[]balance.Reading{readingOf(7, 12, start), readingOf(8, 12, start)}, 0, 0},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := amongMany(count)
			b.LearnReadings(tc.readings)
			is.Equal(loadOf(b, 0, count, start.Add(tc.at)), tc.load)
		})
	}
}

// TestOwnRequestsCountOnTop: what this process has sent since a reading was made
// is not in it.
func TestOwnRequestsCountOnTop(t *testing.T) {
	is := is.New(t)
	b := amongMany(2)
	b.NoteReading("t0", 3, start)
	b.NoteReading("t1", 3, start)
	for i := range 4 {
		pick, _ := b.Choose(balance.Query{Service: "s", Exclude: []string{"t1"}}, start)
		is.Equal(pick.Load, 3+i)
	}
	b.NoteReading("t0", 5, start.Add(time.Millisecond)) // has all four
	is.Equal(loadOf(b, 0, 2, start.Add(time.Millisecond)), 5)
	b.Release("t0", balance.Good, start.Add(2*time.Millisecond))
	is.Equal(loadOf(b, 0, 2, start.Add(2*time.Millisecond)), 4)
}

// TestFewGatewaysGoByCounts: few gateways tell each other of each request sooner
// than targets are read.
func TestFewGatewaysGoByCounts(t *testing.T) {
	is := is.New(t)
	b := newBalancer(2)
	b.SetPeers(29)
	b.LearnReadings([]balance.Reading{readingOf(0, 9, start), readingOf(1, 9, start)})
	is.Equal(loadOf(b, 0, 2, start), 0)
	is.Equal(len(b.Readings(10, start)), 0)
	b.SetPeers(102)
	is.Equal(loadOf(b, 0, 2, start.Add(100*time.Millisecond)), 9)
	is.Equal(len(b.Unread()), 0)
	is.Equal(len(b.Readings(1, start)), 1)
	is.Equal(len(b.Readings(10, start.Add(2*time.Second))), 0) // too old to be passed on
}

// TestUnreadCountsArePassedOn: of services whose targets report nothing, the
// other gateways are told counts, however many they are.
func TestUnreadCountsArePassedOn(t *testing.T) {
	is := is.New(t)
	b := amongMany(2)
	b.Put(balance.Target{ID: "p", Service: "plain"})
	b.LearnReadings([]balance.Reading{readingOf(0, 1, start), readingOf(1, 1, start)})
	b.Choose(balance.Query{Service: "s"}, start)
	b.Choose(balance.Query{Service: "plain"}, start)
	is.Equal(b.Unread(), []balance.Count{{Target: policy.HashName("p"), Count: 1}})
	is.Equal(len(b.InFlight()), 2)
}

// TestReadingsNeverGoBelowOwnRequests: whatever readings come, in whatever order,
// no target is taken to hold less than this process has there.
func TestReadingsNeverGoBelowOwnRequests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const count = 3
		b := amongMany(count)
		now := start
		own := make([]int, count)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			i := rapid.IntRange(0, count-1).Draw(t, "target")
			id := fmt.Sprintf("t%d", i)
			switch rapid.IntRange(0, 2).Draw(t, "what") {
			case 0:
				age := time.Duration(rapid.IntRange(-100, 2000).Draw(t, "age")) * time.Millisecond
				b.LearnReadings([]balance.Reading{readingOf(i, rapid.IntRange(0, 40).Draw(t, "load"), now.Add(-age))})
			case 1:
				pick, ok := b.Choose(balance.Query{Service: "s"}, now)
				if ok {
					own[pick.Target.ID[1]-'0']++
				}
			case 2:
				if own[i] > 0 {
					own[i]--
					b.Release(id, balance.Good, now)
				}
			}
			if load := loadOf(b, i, count, now); load < own[i] {
				t.Fatalf("%s is taken to hold %d, and this process has %d there", id, load, own[i])
			}
		}
	})
}
