package admission_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/capersaddle/capersaddle/internal/admission"
)

var epoch = time.Unix(1000, 0)

func isAdmitted(turn *admission.Turn) bool {
	select {
	case <-turn.Admitted():
		return true
	default:
		return false
	}
}

func entry(workspace string, rank int) admission.Entry {
	return admission.Entry{Workspace: workspace, Rank: rank, Patience: time.Second, Left: 9 * time.Second}
}

// No request is refused or waits while there is room, and no more requests are admitted than there
// is room for.
func TestLimiterRefusesOnlyWhenFull(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limiter := admission.NewLimiter(admission.DefaultLimiterOptions())
		capacity := rapid.IntRange(1, 8).Draw(t, "places")
		now := epoch
		busy := 0
		var waiting []*admission.Turn
		settle := func() {
			var stillWaiting []*admission.Turn
			for _, turn := range waiting {
				if isAdmitted(turn) {
					turn.Begin()
					busy++
				} else {
					stillWaiting = append(stillWaiting, turn)
				}
			}
			waiting = stillWaiting
		}
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 30).Draw(t, "ms")) * time.Millisecond)
			switch {
			case busy > 0 && rapid.IntRange(0, 2).Draw(t, "end") == 0:
				busy--
				limiter.Admit(capacity-busy, now)
			case len(waiting) > 0 && rapid.IntRange(0, 5).Draw(t, "leave") == 0:
				retryAfter, left := waiting[0].Leave(9*time.Second, now)
				if !left || retryAfter <= 0 || retryAfter > 3*time.Second {
					t.Fatalf("Leave: left %v, retry after %s", left, retryAfter)
				}
				waiting = waiting[1:]
			default:
				workspace := fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "workspace"))
				turn, retryAfter := limiter.Offer(entry(workspace, rapid.IntRange(0, 3).Draw(t, "rank")), capacity-busy, now)
				if turn == nil && (busy < capacity || retryAfter <= 0 || retryAfter > 3*time.Second) {
					t.Fatalf("refused with %d of %d busy, retry after %s", busy, capacity, retryAfter)
				}
				if turn != nil {
					waiting = append(waiting, turn)
				}
			}
			settle()
			if busy > capacity {
				t.Fatalf("%d admitted, room for %d", busy, capacity)
			}
			if busy < capacity && len(waiting) > 0 {
				t.Fatalf("%d wait while %d of %d are busy", len(waiting), busy, capacity)
			}
			if limiter.Waiting() != len(waiting) {
				t.Fatalf("%d wait, the limiter counts %d", len(waiting), limiter.Waiting())
			}
		}
	})
}

func TestLimiterQueueOrder(t *testing.T) {
	cases := map[string]struct {
		entries []admission.Entry
		want    []int
	}{
		"more urgent requests first":     {[]admission.Entry{entry("a", 3), entry("a", 0), entry("a", 1)}, []int{1, 2, 0}},
		"first come, first served":       {[]admission.Entry{entry("a", 1), entry("a", 1), entry("a", 1)}, []int{0, 1, 2}},
		"workspaces take turns":          {[]admission.Entry{entry("a", 1), entry("a", 1), entry("a", 1), entry("b", 1)}, []int{0, 3, 1, 2}},
		"out of range ranks are clamped": {[]admission.Entry{entry("a", 99), entry("a", 9), entry("a", -1)}, []int{2, 0, 1}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			limiter := admission.NewLimiter(admission.DefaultLimiterOptions())
			var turns []*admission.Turn
			for _, entry := range tc.entries {
				turn, _ := limiter.Offer(entry, 0, epoch)
				is.True(turn != nil) // the admission rate is unknown, so it may wait
				turns = append(turns, turn)
			}
			for _, next := range tc.want {
				limiter.Admit(1, epoch)
				is.True(isAdmitted(turns[next]))
				turns[next].Begin()
			}
		})
	}
}

// overload offers requests of several ranks and workspaces at three times the rate that the
// service can take, for 6 s, and counts them by the key that by returns.
func overload(offer func(step int) admission.Entry, by func(admission.Entry) string) (offered, served map[string]int) {
	limiter := admission.NewLimiter(admission.DefaultLimiterOptions())
	offered, served = make(map[string]int), make(map[string]int)
	type queued struct {
		turn  *admission.Turn
		entry admission.Entry
		until time.Time
	}
	var waiting []queued
	room := 0
	for step := range 6000 {
		now := epoch.Add(time.Duration(step) * time.Millisecond)
		if step%3 == 0 {
			room++
			limiter.Admit(room, now)
		}
		next := offer(step)
		offered[by(next)]++
		if turn, _ := limiter.Offer(next, room, now); turn != nil {
			waiting = append(waiting, queued{turn, next, now.Add(60 * time.Millisecond)})
		}
		var stillWaiting []queued
		for _, request := range waiting {
			switch {
			case isAdmitted(request.turn):
				request.turn.Begin()
				room--
				served[by(request.entry)]++
			case now.After(request.until):
				request.turn.Leave(time.Second, now)
			default:
				stillWaiting = append(stillWaiting, request)
			}
		}
		waiting = stillWaiting
	}
	return offered, served
}

// At three times the load that the service can take, urgent requests are served first, and the
// least urgent ranks still get their minimum share.
func TestLowRanksAreNotStarved(t *testing.T) {
	is := is.New(t)
	rankOf := func(e admission.Entry) string { return fmt.Sprint(e.Rank) }
	offered, served := overload(func(step int) admission.Entry {
		return admission.Entry{Workspace: "a", Rank: step % 3, Patience: 60 * time.Millisecond, Left: time.Second}
	}, rankOf)
	share := func(rank string) float64 { return float64(served[rank]) / float64(offered[rank]) }
	mean := float64(served["0"]+served["1"]+served["2"]) / 6000
	is.True(mean > 0.32)           // the full capacity is used
	is.True(share("0") > 1.5*mean) // urgent requests are served first
	is.True(share("1") > 0.4*mean)
	is.True(share("2") > 0.4*mean)
	is.True(share("0") > share("1") && share("0") > share("2"))
}

// A workspace that sends nine of ten requests takes no capacity from the nine others.
func TestBurstOfOneWorkspaceDoesNotDelayOthers(t *testing.T) {
	is := is.New(t)
	offered, served := overload(func(step int) admission.Entry {
		workspace := "loud"
		if step%10 == 0 {
			workspace = fmt.Sprint(step / 10 % 9)
		}
		return admission.Entry{Workspace: workspace, Rank: 1, Patience: 60 * time.Millisecond, Left: time.Second}
	}, func(e admission.Entry) string { return e.Workspace })
	for workspace, count := range offered {
		if workspace != "loud" {
			is.True(float64(served[workspace]) > 0.9*float64(count)) // a quiet workspace is served
		}
	}
}

// The wait estimated at entry is beyond the request's patience, so that it doesn't queue in vain.
func TestOfferRefusesWaitBeyondPatience(t *testing.T) {
	is := is.New(t)
	limiter := admission.NewLimiter(admission.DefaultLimiterOptions())
	now := epoch
	for range 200 { // ten per second
		now = now.Add(100 * time.Millisecond)
		turn, _ := limiter.Offer(entry("a", 1), 1, now)
		turn.Begin()
	}
	patient := admission.Entry{Workspace: "a", Rank: 1, Patience: 250 * time.Millisecond, Left: 3 * time.Second}
	first, _ := limiter.Offer(patient, 0, now)
	second, _ := limiter.Offer(patient, 0, now)
	third, retryAfter := limiter.Offer(patient, 0, now)
	is.True(first != nil && second != nil) // expected waits of 0.1 s and 0.2 s
	is.True(third == nil)                  // expected wait of 0.3 s
	is.True(retryAfter >= 100*time.Millisecond && retryAfter <= time.Second)
	urgent, _ := limiter.Offer(admission.Entry{Workspace: "a", Patience: 150 * time.Millisecond}, 0, now)
	is.True(urgent != nil) // is served before the other two
}

// Refused callers are asked to retry at different times, and no later than they would by
// themselves.
func TestRetryAfterIsSpread(t *testing.T) {
	is := is.New(t)
	limiter := admission.NewLimiter(admission.DefaultLimiterOptions())
	now := epoch
	for range 400 {
		now = now.Add(10 * time.Millisecond)
		turn, _ := limiter.Offer(entry("a", 1), 1, now)
		turn.Begin()
	}
	previous := time.Duration(0)
	for range 40 {
		retryAfter := limiter.RetryAfter(6*time.Second, now)
		is.True(retryAfter > previous)
		is.True(retryAfter <= 2*time.Second)
		previous = retryAfter
	}
	for range 1000 {
		is.True(limiter.RetryAfter(6*time.Second, now) <= 2*time.Second)
	}
}

// BenchmarkOffer measures a request that joins a queue of the given length and leaves it.
func BenchmarkOffer(b *testing.B) {
	for _, waiting := range []int{0, 200} {
		b.Run(fmt.Sprint(waiting), func(b *testing.B) {
			limiter := admission.NewLimiter(admission.DefaultLimiterOptions())
			for i := range waiting {
				limiter.Offer(entry(fmt.Sprint(i%10), i%3), 0, epoch)
			}
			b.ReportAllocs()
			for b.Loop() {
				turn, _ := limiter.Offer(entry("x", 0), 0, epoch)
				turn.Leave(time.Second, epoch)
			}
		})
	}
}
