package quarantine_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/capersaddle/capersaddle/internal/quarantine"
)

const (
	// alike is a request that many send, and fatalOne and fatalTwo end their targets.
	alike    = quarantine.Fingerprint(0xa11ce)
	fatalOne = quarantine.Fingerprint(0xfa1)
	fatalTwo = quarantine.Fingerprint(0xfa2)
	// quiet is a time after which nothing more is expected to show who is to blame.
	quiet = 5 * time.Second
)

// mixed is what is known after two fatal requests have ended three targets each, at all of
// which another one was under way.
func mixed(now time.Time) *quarantine.Table {
	table := quarantine.New()
	crash(table, fatalOne, 1, 3, now)
	crash(table, fatalTwo, 4, 3, now)
	crash(table, alike, 1, 6, now)
	return table
}

// TestWhoIsToBlame: a request of which all ends are explained by others is doubtful, and one
// that nobody else explains is fatal.
func TestWhoIsToBlame(t *testing.T) {
	now := time.Now()
	cases := map[string]struct {
		table func() *quarantine.Table
		after time.Duration
		want  quarantine.Verdict
	}{
		"no ends": {table: quarantine.New, want: quarantine.Sendable},
		"two": {
			table: func() *quarantine.Table { return ended(alike, 2, now) },
			want:  quarantine.Sendable,
		},
		"three, a moment ago": {
			table: func() *quarantine.Table { return ended(alike, 3, now) },
			want:  quarantine.Doubtful,
		},
		"three, and nobody else there": {
			table: func() *quarantine.Table { return ended(alike, 3, now) },
			after: quiet,
			want:  quarantine.Fatal,
		},
		"three, as the store has kept": {
			table: func() *quarantine.Table {
				table := quarantine.New()
				table.Restore(ended(alike, 3, now).Records(now)[0], now)
				return table
			},
			want: quarantine.Fatal,
		},
		"three, and its term is over": {
			table: func() *quarantine.Table { return ended(alike, 3, now) },
			after: quarantine.FirstTerm,
			want:  quarantine.Sendable,
		},
		"another one was there, a moment ago": {
			table: func() *quarantine.Table { return beside(ended(alike, 3, now), 1, now) },
			want:  quarantine.Doubtful,
		},
		"another one was there, and came no more": {
			table: func() *quarantine.Table { return beside(ended(alike, 3, now), 1, now) },
			after: quiet,
			want:  quarantine.Fatal,
		},
		"others that were at all ends have met two each, and come later": {
			table: func() *quarantine.Table {
				table := ended(alike, 4, now)
				crash(table, fatalOne, 1, 2, now)
				crash(table, fatalTwo, 3, 2, now)
				return table
			},
			after: 4 * time.Second,
			want:  quarantine.Doubtful,
		},
		"they don't come": {
			table: func() *quarantine.Table {
				table := ended(alike, 4, now)
				crash(table, fatalOne, 1, 2, now)
				crash(table, fatalTwo, 3, 2, now)
				return table
			},
			after: quiet,
			want:  quarantine.Fatal,
		},
		"another one explains all ends": {
			table: func() *quarantine.Table { return beside(ended(alike, 3, now), 3, now) },
			after: quiet,
			want:  quarantine.Doubtful,
		},
		"two others explain all": {
			table: func() *quarantine.Table { return mixed(now) },
			after: quiet,
			want:  quarantine.Doubtful,
		},
		"two others explain all but one": {
			table: func() *quarantine.Table {
				table := mixed(now)
				crash(table, alike, 7, 1, now)
				return table
			},
			after: quiet,
			want:  quarantine.Doubtful,
		},
		"two ends are its own": {
			table: func() *quarantine.Table {
				table := mixed(now)
				crash(table, alike, 7, 2, now)
				return table
			},
			after: quiet,
			want:  quarantine.Fatal,
		},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(tc.table().Verdict(alike, now.Add(tc.after)), tc.want)
		})
	}
}

// ended is what is known of one request that was there when so many targets ended.
func ended(print quarantine.Fingerprint, count int, now time.Time) *quarantine.Table {
	table := quarantine.New()
	crash(table, print, 1, count, now)
	return table
}

// beside has another request have been there at so many of them.
func beside(table *quarantine.Table, count int, now time.Time) *quarantine.Table {
	crash(table, fatalOne, 1, count, now)
	return table
}

// TestATrialTellsThemApart: the request with the most ends is tried, once, by the first of the
// gateways that may; a whole answer clears it, and leaves the others nobody to blame.
func TestATrialTellsThemApart(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	table := mixed(now)
	is.True(!table.MayStartTrial(alike, 0, now)) // other ends may come
	now = now.Add(quiet)
	is.True(!table.MayStartTrial(alike, 100, now)) // others may try it before
	is.True(!table.MayStartTrial(fatalOne, 0, now))
	change, begun := table.StartTrial(alike, 0, 99, now)
	is.True(begun)
	is.True(change.Changed)
	is.True(change.Broadcast()) // all are to know
	_, again := table.StartTrial(alike, 0, 98, now)
	is.True(!again)
	is.True(table.Held(alike, now)) // but for the trial
	others := mixed(now)
	others.Merge(change.Record, now)
	is.True(!others.MayStartTrial(alike, 0, now.Add(quiet)))
	is.True(!others.MayStartTrial(fatalOne, 0, now.Add(quiet)))
	is.True(table.Answered(alike, now).HoldEnded())
	is.Equal(table.Verdict(alike, now), quarantine.Sendable)
	is.Equal(table.Verdict(fatalOne, now), quarantine.Fatal)
	is.Equal(table.Verdict(fatalTwo, now), quarantine.Fatal)
	is.True(table.Held(fatalOne, now))
	is.True(!table.MayStartTrial(fatalOne, 0, now.Add(quiet)))
}

// TestATrialThatEndsItsTarget: it is fatal itself, unless another fatal one was there as well.
func TestATrialThatEndsItsTarget(t *testing.T) {
	is := is.New(t)
	now := time.Now().Add(quiet)
	table := mixed(now.Add(-quiet))
	const tried, other = 99, 100
	_, begun := table.StartTrial(alike, 0, tried, now)
	is.True(begun)
	table.Crashed(alike, tried, now)
	is.Equal(table.Verdict(alike, now), quarantine.Fatal)
	is.True(!table.MayStartTrial(alike, 0, now.Add(quiet)))
	const third = quarantine.Fingerprint(0xfa3)
	table.Crashed(third, tried, now)
	crash(table, third, other, 2, now)
	now = now.Add(quiet)
	is.Equal(table.Verdict(alike, now), quarantine.Doubtful)
	is.True(table.MayStartTrial(alike, 0, now))
}

// TestATrialWithoutOutcome: the gateway that tries may be lost; another one tries after a
// while, three times at most.
func TestATrialWithoutOutcome(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	table := mixed(now)
	for trial := range quarantine.MaxTrials {
		now = now.Add(time.Minute)
		_, begun := table.StartTrial(alike, 0, quarantine.Instance(90+trial), now)
		is.True(begun)
	}
	_, begun := table.StartTrial(alike, 0, 80, now.Add(time.Minute))
	is.True(!begun)
}

// TestATrialThatNoTargetRan: it is as if there had been none, whoever knew of it.
func TestATrialThatNoTargetRan(t *testing.T) {
	is := is.New(t)
	now := time.Now().Add(quiet)
	table, others := mixed(now.Add(-quiet)), mixed(now.Add(-quiet))
	for range 2 * quarantine.MaxTrials {
		change, begun := table.StartTrial(alike, 0, 90, now)
		is.True(begun)
		others.Merge(change.Record, now)
		is.True(!table.TrialNotRun(alike, 91, now).Changed) // another one's
		change = table.TrialNotRun(alike, 90, now)
		is.True(change.Changed)
		others.Merge(change.Record, now)
		now = now.Add(quiet)
		is.True(others.MayStartTrial(alike, 0, now))
	}
	is.Equal(table.Digest(), others.Digest())
}

// TestTrialsAreBounded: whatever several gateways find and try, and however their records
// are joined, a request that ends all its targets ends three, and one more for each trial, of
// which there are no more than MaxTrials.
func TestTrialsAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Now()
		const gateways, requests = 3, 4
		var tables [gateways]*quarantine.Table
		for i := range tables {
			tables[i] = quarantine.New()
		}
		life := quarantine.Instance(0)
		trials := make(map[quarantine.Fingerprint]int)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 8000).Draw(t, "ms")) * time.Millisecond)
			at := rapid.IntRange(0, gateways-1).Draw(t, "gateway")
			print := quarantine.Fingerprint(1 + rapid.IntRange(0, requests-1).Draw(t, "request"))
			life++
			sent := !tables[at].Held(print, now)
			if !sent {
				_, sent = tables[at].StartTrial(print, at, life, now)
				if sent {
					trials[print]++
				}
			}
			if sent {
				tables[at].Crashed(print, life, now)
				if rapid.Bool().Draw(t, "another one is there") {
					tables[at].Crashed(quarantine.Fingerprint(1+uint64(print)%requests), life, now)
				}
			}
			for _, record := range tables[at].Records(now) {
				for _, other := range tables {
					other.Merge(record, now)
				}
			}
			if trials[print] > quarantine.MaxTrials {
				t.Fatalf("%v was tried %d times", print, trials[print])
			}
		}
		for i := range tables {
			if tables[i].Digest() != tables[0].Digest() {
				t.Fatalf("gateways hold different records")
			}
		}
	})
}
