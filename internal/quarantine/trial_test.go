package quarantine_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/capersaddle/capersaddle/internal/quarantine"
)

const (
	// shared is a request that many callers send; fatalOne and fatalTwo crash their targets.
	shared   = quarantine.Fingerprint(0xa11ce)
	fatalOne = quarantine.Fingerprint(0xfa1)
	fatalTwo = quarantine.Fingerprint(0xfa2)
	// quiet is a time after which no further evidence is expected.
	quiet = 5 * time.Second
)

// twoFatalAndShared returns the table after two fatal requests have crashed three targets each,
// with a third request in flight at all six.
func twoFatalAndShared(now time.Time) *quarantine.Table {
	table := quarantine.New()
	crash(table, fatalOne, 1, 3, now)
	crash(table, fatalTwo, 4, 3, now)
	crash(table, shared, 1, 6, now)
	return table
}

// TestVerdicts checks that a request whose crashes are all explained by others is doubtful, and
// that one whose crashes nothing else explains is fatal.
func TestVerdicts(t *testing.T) {
	now := time.Now()
	cases := map[string]struct {
		table   func() *quarantine.Table
		elapsed time.Duration
		want    quarantine.Verdict
	}{
		"no crashes": {table: quarantine.New, want: quarantine.Sendable},
		"two crashes": {
			table: func() *quarantine.Table { return crashedTable(shared, 2, now) },
			want:  quarantine.Sendable,
		},
		"three crashes, just now": {
			table: func() *quarantine.Table { return crashedTable(shared, 3, now) },
			want:  quarantine.Doubtful,
		},
		"three crashes, no other request": {
			table:   func() *quarantine.Table { return crashedTable(shared, 3, now) },
			elapsed: quiet,
			want:    quarantine.Fatal,
		},
		"three crashes, restored from the store": {
			table: func() *quarantine.Table {
				table := quarantine.New()
				table.Restore(crashedTable(shared, 3, now).Records(now)[0], now)
				return table
			},
			want: quarantine.Fatal,
		},
		"three crashes, term expired": {
			table:   func() *quarantine.Table { return crashedTable(shared, 3, now) },
			elapsed: quarantine.FirstTerm,
			want:    quarantine.Sendable,
		},
		"another request at one crash, just now": {
			table: func() *quarantine.Table { return withOther(crashedTable(shared, 3, now), 1, now) },
			want:  quarantine.Doubtful,
		},
		"another request at one crash, not sent again": {
			table:   func() *quarantine.Table { return withOther(crashedTable(shared, 3, now), 1, now) },
			elapsed: quiet,
			want:    quarantine.Fatal,
		},
		"others at all crashes with two each, may be sent again": {
			table: func() *quarantine.Table {
				table := crashedTable(shared, 4, now)
				crash(table, fatalOne, 1, 2, now)
				crash(table, fatalTwo, 3, 2, now)
				return table
			},
			elapsed: 4 * time.Second,
			want:    quarantine.Doubtful,
		},
		"others at all crashes with two each, not sent again": {
			table: func() *quarantine.Table {
				table := crashedTable(shared, 4, now)
				crash(table, fatalOne, 1, 2, now)
				crash(table, fatalTwo, 3, 2, now)
				return table
			},
			elapsed: quiet,
			want:    quarantine.Fatal,
		},
		"another request explains all crashes": {
			table:   func() *quarantine.Table { return withOther(crashedTable(shared, 3, now), 3, now) },
			elapsed: quiet,
			want:    quarantine.Doubtful,
		},
		"two others explain all crashes": {
			table:   func() *quarantine.Table { return twoFatalAndShared(now) },
			elapsed: quiet,
			want:    quarantine.Doubtful,
		},
		"two others explain all crashes but one": {
			table: func() *quarantine.Table {
				table := twoFatalAndShared(now)
				crash(table, shared, 7, 1, now)
				return table
			},
			elapsed: quiet,
			want:    quarantine.Doubtful,
		},
		"two crashes unexplained": {
			table: func() *quarantine.Table {
				table := twoFatalAndShared(now)
				crash(table, shared, 7, 2, now)
				return table
			},
			elapsed: quiet,
			want:    quarantine.Fatal,
		},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(tc.table().Verdict(shared, now.Add(tc.elapsed)), tc.want)
		})
	}
}

// crashedTable returns a table with one request that was in flight at count crashes.
func crashedTable(fingerprint quarantine.Fingerprint, count int, now time.Time) *quarantine.Table {
	table := quarantine.New()
	crash(table, fingerprint, 1, count, now)
	return table
}

// withOther adds another request that was in flight at the first count crashes.
func withOther(table *quarantine.Table, count int, now time.Time) *quarantine.Table {
	crash(table, fatalOne, 1, count, now)
	return table
}

// TestTrialSelectsAndClears checks that the request with the most crashes is tried, once, by the
// first gateway that may. A complete answer clears it, and leaves the other requests without
// another cause for their crashes.
func TestTrialSelectsAndClears(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	table := twoFatalAndShared(now)
	is.True(!table.MayStartTrial(shared, 0, now)) // further crashes may still be recorded
	now = now.Add(quiet)
	is.True(!table.MayStartTrial(shared, 100, now)) // gateways of lower rank may try it first
	is.True(!table.MayStartTrial(fatalOne, 0, now))
	change, started := table.StartTrial(shared, 0, 99, now)
	is.True(started)
	is.True(change.Changed)
	is.True(change.Broadcast()) // all gateways need it
	_, again := table.StartTrial(shared, 0, 98, now)
	is.True(!again)
	is.True(table.Held(shared, now)) // except for the trial
	others := twoFatalAndShared(now)
	others.Merge(change.Record, now)
	is.True(!others.MayStartTrial(shared, 0, now.Add(quiet)))
	is.True(!others.MayStartTrial(fatalOne, 0, now.Add(quiet)))
	is.True(table.Answered(shared, now).HoldEnded())
	is.Equal(table.Verdict(shared, now), quarantine.Sendable)
	is.Equal(table.Verdict(fatalOne, now), quarantine.Fatal)
	is.Equal(table.Verdict(fatalTwo, now), quarantine.Fatal)
	is.True(table.Held(fatalOne, now))
	is.True(!table.MayStartTrial(fatalOne, 0, now.Add(quiet)))
}

// TestTrialThatCrashesItsTarget checks that the request is fatal, unless another fatal request was
// there as well.
func TestTrialThatCrashesItsTarget(t *testing.T) {
	is := is.New(t)
	now := time.Now().Add(quiet)
	table := twoFatalAndShared(now.Add(-quiet))
	const tried, other = 99, 100
	_, started := table.StartTrial(shared, 0, tried, now)
	is.True(started)
	table.Crashed(shared, tried, now)
	is.Equal(table.Verdict(shared, now), quarantine.Fatal)
	is.True(!table.MayStartTrial(shared, 0, now.Add(quiet)))
	const third = quarantine.Fingerprint(0xfa3)
	table.Crashed(third, tried, now)
	crash(table, third, other, 2, now)
	now = now.Add(quiet)
	is.Equal(table.Verdict(shared, now), quarantine.Doubtful)
	is.True(table.MayStartTrial(shared, 0, now))
}

// TestTrialsWithoutOutcomeAreLimited guards against a gateway that is lost during a trial: another
// one tries after a while, three times at most.
func TestTrialsWithoutOutcomeAreLimited(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	table := twoFatalAndShared(now)
	for trial := range quarantine.MaxTrials {
		now = now.Add(time.Minute)
		_, started := table.StartTrial(shared, 0, quarantine.Incarnation(90+trial), now)
		is.True(started)
	}
	_, started := table.StartTrial(shared, 0, 80, now.Add(time.Minute))
	is.True(!started)
}

// TestTrialNotRun checks that a trial that no target ran doesn't count, on all gateways that knew
// of it.
func TestTrialNotRun(t *testing.T) {
	is := is.New(t)
	now := time.Now().Add(quiet)
	table, others := twoFatalAndShared(now.Add(-quiet)), twoFatalAndShared(now.Add(-quiet))
	for range 2 * quarantine.MaxTrials {
		change, started := table.StartTrial(shared, 0, 90, now)
		is.True(started)
		others.Merge(change.Record, now)
		is.True(!table.TrialNotRun(shared, 91, now).Changed) // a trial at another incarnation
		change = table.TrialNotRun(shared, 90, now)
		is.True(change.Changed)
		others.Merge(change.Record, now)
		now = now.Add(quiet)
		is.True(others.MayStartTrial(shared, 0, now))
	}
	is.Equal(table.Digest(), others.Digest())
}

// TestTrialsAreBounded checks that a request that crashes all its targets crashes three, and one
// more for each trial, of which there are at most MaxTrials. Whatever several gateways observe and
// try, and however their records are merged, this must hold.
func TestTrialsAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Now()
		const gateways, requests = 3, 4
		var tables [gateways]*quarantine.Table
		for i := range tables {
			tables[i] = quarantine.New()
		}
		incarnation := quarantine.Incarnation(0)
		trials := make(map[quarantine.Fingerprint]int)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 8000).Draw(t, "ms")) * time.Millisecond)
			at := rapid.IntRange(0, gateways-1).Draw(t, "gateway")
			fingerprint := quarantine.Fingerprint(1 + rapid.IntRange(0, requests-1).Draw(t, "request"))
			incarnation++
			sent := !tables[at].Held(fingerprint, now)
			if !sent {
				_, sent = tables[at].StartTrial(fingerprint, at, incarnation, now)
				if sent {
					trials[fingerprint]++
				}
			}
			if sent {
				tables[at].Crashed(fingerprint, incarnation, now)
				if rapid.Bool().Draw(t, "another request is there") {
					tables[at].Crashed(quarantine.Fingerprint(1+uint64(fingerprint)%requests), incarnation, now)
				}
			}
			for _, record := range tables[at].Records(now) {
				for _, other := range tables {
					other.Merge(record, now)
				}
			}
			if trials[fingerprint] > quarantine.MaxTrials {
				t.Fatalf("%v was tried %d times", fingerprint, trials[fingerprint])
			}
		}
		for i := range tables {
			if tables[i].Digest() != tables[0].Digest() {
				t.Fatalf("gateways hold different records")
			}
		}
	})
}
