package quarantine

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

const (
	shop, clinic Workspace = 1, 2
	// apart is the time between two crashes that count as two moments.
	apart = momentLength
	// unaccused is a request without crashes.
	unaccused Fingerprint = 0
)

// partsOf returns the fingerprints of parts.
func partsOf(ids ...string) []Fingerprint {
	var parts []Fingerprint
	for _, id := range ids {
		parts = append(parts, PartFingerprint(id))
	}
	return parts
}

// crashUnder records crashes of targets under requests of a workspace with parts, each at a moment of
// its own, and returns the time after them.
func crashUnder(table *Table, workspace Workspace, now time.Time, parts []Fingerprint, targets ...Incarnation) time.Time {
	for _, target := range targets {
		for _, part := range parts {
			table.PartCrashed(part, workspace, target, now)
		}
		now = now.Add(apart)
	}
	return now
}

// heldParts returns the parts for which a request is held, if none runs elsewhere.
func heldParts(table *Table, workspace Workspace, now time.Time, parts ...string) []Fingerprint {
	var held []Fingerprint
	for _, suspicion := range table.SuspiciousParts(Prompt{workspace, partsOf(parts...)}, 0, now) {
		if suspicion.Holds(false) {
			held = append(held, suspicion.Fingerprint)
		}
	}
	return held
}

// TestPartIsHeld checks which requests are held back after crashes under a fatal part "f".
func TestPartIsHeld(t *testing.T) {
	limit := []Incarnation{1, 2, 3, 4}
	cases := map[string]struct {
		// happens records what led to the request and returns the time of it.
		happens   func(table *Table, now time.Time) time.Time
		workspace Workspace
		parts     []string
		want      []Fingerprint
	}{
		"below the limit": {
			happens: func(table *Table, now time.Time) time.Time {
				return crashUnder(table, shop, now, partsOf("f"), limit[:3]...)
			},
			workspace: shop, parts: []string{"f"},
		},
		"at the limit": {
			happens: func(table *Table, now time.Time) time.Time {
				return crashUnder(table, shop, now, partsOf("f"), limit...)
			},
			workspace: shop, parts: []string{"a", "f"}, want: partsOf("f"),
		},
		"one target crashes repeatedly in the records": {
			happens: func(table *Table, now time.Time) time.Time {
				return crashUnder(table, shop, now, partsOf("f"), 1, 1, 1, 1, 1)
			},
			workspace: shop, parts: []string{"f"},
		},
		"answered since": {
			happens: func(table *Table, now time.Time) time.Time {
				now = crashUnder(table, shop, now, partsOf("f"), limit...)
				table.PartsAnswered(partsOf("f"), now)
				return now
			},
			workspace: shop, parts: []string{"f"},
		},
		"answered between crashes": {
			happens: func(table *Table, now time.Time) time.Time {
				now = crashUnder(table, shop, now, partsOf("f"), limit[:2]...)
				table.PartsAnswered(partsOf("f"), now)
				return crashUnder(table, shop, now, partsOf("f"), limit[2:]...)
			},
			workspace: shop, parts: []string{"f"},
		},
		"answered long ago, fatal since": {
			happens: func(table *Table, now time.Time) time.Time {
				table.PartsAnswered(partsOf("f"), now)
				return crashUnder(table, shop, now.Add(partAnswerTTL), partsOf("f"), limit...)
			},
			workspace: shop, parts: []string{"f"}, want: partsOf("f"),
		},
		"all at one moment, just now": {
			happens: func(table *Table, now time.Time) time.Time {
				for _, target := range limit {
					crashUnder(table, shop, now, partsOf("f"), target)
				}
				return now.Add(coincidenceTime - 1)
			},
			workspace: shop, parts: []string{"f"},
		},
		"all at one moment, and no answer since": {
			happens: func(table *Table, now time.Time) time.Time {
				for _, target := range limit {
					crashUnder(table, shop, now, partsOf("f"), target)
				}
				return now.Add(coincidenceTime)
			},
			workspace: shop, parts: []string{"f"}, want: partsOf("f"),
		},
		"another workspace": {
			happens: func(table *Table, now time.Time) time.Time {
				return crashUnder(table, shop, now, partsOf("f"), limit...)
			},
			workspace: clinic, parts: []string{"f"},
		},
		"a third workspace after two": {
			happens: func(table *Table, now time.Time) time.Time {
				now = crashUnder(table, shop, now, partsOf("f"), limit[:2]...)
				return crashUnder(table, clinic, now, partsOf("f"), limit[2:]...)
			},
			workspace: 3, parts: []string{"f"}, want: partsOf("f"),
		},
		"beside a part in the same crashes, both": {
			happens: func(table *Table, now time.Time) time.Time {
				return crashUnder(table, shop, now, partsOf("b", "f"), limit...)
			},
			workspace: shop, parts: []string{"b", "f"}, want: partsOf("b", "f"),
		},
		"beside a part in the same crashes, the other one": {
			happens: func(table *Table, now time.Time) time.Time {
				return crashUnder(table, shop, now, partsOf("b", "f"), limit...)
			},
			workspace: shop, parts: []string{"b", "own"},
		},
		"beside a part in the same crashes, and one more without it": {
			happens: func(table *Table, now time.Time) time.Time {
				now = crashUnder(table, shop, now, partsOf("b", "f"), limit...)
				return crashUnder(table, shop, now, partsOf("f"), 5)
			},
			workspace: shop, parts: []string{"c", "f"}, want: partsOf("f"),
		},
		"two fatal parts explain a third": {
			happens: func(table *Table, now time.Time) time.Time {
				now = crashUnder(table, shop, now, partsOf("b", "f"), limit...)
				return crashUnder(table, shop, now, partsOf("b", "g"), 5, 6, 7, 8)
			},
			workspace: shop, parts: []string{"b"},
		},
		"the term is over": {
			happens: func(table *Table, now time.Time) time.Time {
				return crashUnder(table, shop, now, partsOf("f"), limit...).Add(FirstTerm)
			},
			workspace: shop, parts: []string{"f"},
		},
		"lifted": {
			happens: func(table *Table, now time.Time) time.Time {
				now = crashUnder(table, shop, now, partsOf("f"), limit...)
				table.Lift(PartFingerprint("f"), now)
				return now
			},
			workspace: shop, parts: []string{"f"},
		},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			table := New()
			now := test.happens(table, time.Now())
			is.New(t).Equal(heldParts(table, test.workspace, now, test.parts...), test.want)
		})
	}
}

// TestPartRunningElsewhere checks that a part that is in flight at targets which go on is not held for
// coincidenceTime, and that no gateway waits any more once one has confirmed it.
func TestPartRunningElsewhere(t *testing.T) {
	is := is.New(t)
	table := New()
	now := crashUnder(table, shop, time.Now(), partsOf("f"), 1, 2, 3, 4)
	prompt := Prompt{shop, partsOf("f")}
	suspicion := func() PartSuspicion { return table.SuspiciousParts(prompt, 0, now)[0] }
	is.True(suspicion().Holds(false))
	is.True(!suspicion().Holds(true))
	change := table.Confirm(prompt.Parts[0], now)
	is.True(change.Changed)
	is.True(change.Broadcast())
	is.True(suspicion().Holds(true))
	other := New()
	other.Merge(change.Record, now)
	is.Equal(len(other.SuspiciousParts(prompt, 0, now)), 1)
	is.True(other.SuspiciousParts(prompt, 0, now)[0].Holds(true))
}

// TestHoldsOfParts guards against a sound part that is held although the requests with it which run at targets that
// go on are about to be answered: work took longer than the time of the doubt.
func TestHoldsOfParts(t *testing.T) {
	cases := map[string]struct {
		suspicion         PartSuspicion
		want, wantRunning bool
	}{
		"one moment, lately":       {PartSuspicion{InTime: true, Moments: 1}, false, false},
		"one moment, long ago":     {PartSuspicion{Moments: 1}, true, false},
		"two moments, lately":      {PartSuspicion{InTime: true, Moments: 2}, true, false},
		"two moments, long ago":    {PartSuspicion{Moments: 2}, true, true},
		"confirmed, at one moment": {PartSuspicion{Confirmed: true, InTime: true, Moments: 1}, true, true},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(test.suspicion.Holds(false), test.want)
			is.Equal(test.suspicion.Holds(true), test.wantRunning)
		})
	}
}

// TestRequestExplainsItsParts checks that a request which is fatal by itself doesn't hold back others
// that share the parts of its prompt, and that its own parts don't excuse it.
func TestRequestExplainsItsParts(t *testing.T) {
	is := is.New(t)
	table := New()
	now := time.Now()
	const fatal Fingerprint = 7
	for _, target := range []Incarnation{1, 2, 3, 4} {
		table.Crashed(fatal, target, now)
		now = crashUnder(table, shop, now, partsOf("s"), target)
	}
	now = now.Add(coveredSettleTime)
	is.Equal(table.Verdict(fatal, now, partsOf("s")...), Fatal)
	is.Equal(heldParts(table, shop, now, "s"), nil) // another request
	is.Equal(len(table.SuspiciousParts(Prompt{shop, partsOf("s")}, fatal, now)), 1)
}

// TestRequestBesideHeldParts guards against a sound request that is refused for good because the requests which
// explain its crashes are held too early to be found: for parts of their prompts that it has as well.
func TestRequestBesideHeldParts(t *testing.T) {
	const sound Fingerprint = 7
	cleared := func(table *Table, now time.Time) { table.PartsAnswered(partsOf("s"), now) }
	crashed := func(table *Table, now time.Time) {
		table.StartPartTrial(partsOf("s"), unaccused, 0, 9, now)
		table.PartCrashed(partsOf("s")[0], shop, 9, now)
	}
	undecided := func(*Table, time.Time) {}
	cases := map[string]struct {
		decide func(table *Table, now time.Time)
		after  time.Duration
		want   Verdict
	}{
		"not decided":               {undecided, time.Second, Doubtful},
		"not decided for long":      {undecided, partDecisionTime, Fatal},
		"just cleared":              {cleared, time.Second, Doubtful},
		"cleared, nothing else":     {cleared, coveredSettleTime, Fatal},
		"its trial crashed as well": {crashed, time.Second, Fatal},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			table := New()
			now := crashUnder(table, shop, time.Now(), partsOf("s"), 1, 2, 3, 4, 5)
			for _, target := range []Incarnation{1, 3, 5} { // not at all of them
				table.Crashed(sound, target, now.Add((time.Duration(target)-6)*apart))
			}
			now = now.Add(partTrialDelay)
			test.decide(table, now)
			is.Equal(table.Verdict(sound, now.Add(test.after), partsOf("s")...), test.want)
		})
	}
}

// TestPartTrial checks when one request with held parts is sent, and what its end decides.
func TestPartTrial(t *testing.T) {
	cases := map[string]struct {
		ends func(table *Table, part Fingerprint, now time.Time)
		// wait is when the next trial may start after trialTimeout; negative for never.
		wait    time.Duration
		verdict Verdict
	}{
		"crashes": {
			ends:    func(table *Table, part Fingerprint, now time.Time) { table.PartCrashed(part, shop, 9, now) },
			wait:    -1,
			verdict: Fatal,
		},
		"is answered": {
			ends:    func(table *Table, part Fingerprint, now time.Time) { table.PartsAnswered([]Fingerprint{part}, now) },
			verdict: Doubtful,
		},
		"is not run": {
			ends:    func(table *Table, part Fingerprint, now time.Time) { table.TrialNotRun(part, 9, now) },
			verdict: Doubtful,
		},
		"stays open": {
			ends:    func(*Table, Fingerprint, time.Time) {},
			verdict: Doubtful,
		},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			table := New()
			parts := partsOf("f")
			now := crashUnder(table, shop, time.Now(), parts, 1, 2, 3, 4)
			last := now.Add(-apart)
			is.Equal(table.PartTrialIn(parts, unaccused, 0, last), partTrialDelay)
			is.Equal(table.PartTrialIn(parts, unaccused, 2, last), partTrialDelay+2*trialStagger)
			_, started := table.StartPartTrial(parts, unaccused, 0, 9, last.Add(partTrialDelay-1))
			is.True(!started)
			now = last.Add(partTrialDelay)
			_, started = table.StartPartTrial(parts, unaccused, 0, 9, now)
			is.True(started)
			_, started = table.StartPartTrial(parts, unaccused, 0, 10, now.Add(partTrialDelay))
			is.True(!started) // one at a time
			test.ends(table, parts[0], now)
			is.Equal(table.PartTrialIn(parts, unaccused, 0, now.Add(trialTimeout)), test.wait)
			is.Equal(table.PartsVerdict(parts), test.verdict)
		})
	}
}

// TestPartTrialOfAccusedRequest guards against parts that are refused for good although a request crashes
// targets by itself: one of its copies was the trial of its parts.
func TestPartTrialOfAccusedRequest(t *testing.T) {
	const (
		accused Fingerprint = 7
		target  Incarnation = 9
	)
	cases := map[string]struct {
		crashes []Incarnation
		request Fingerprint
		wait    time.Duration
		verdict Verdict
	}{
		"another request":                         {[]Incarnation{1, 2}, unaccused, 0, Fatal},
		"the request itself":                      {[]Incarnation{1, 2}, accused, accusedTrialDelay, Doubtful},
		"the request itself, with a single crash": {[]Incarnation{1}, accused, accusedTrialDelay, Doubtful},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			table := New()
			parts := partsOf("f")
			now := crashUnder(table, shop, time.Now(), parts, 1, 2, 3, 4).Add(-apart)
			for _, crashed := range test.crashes {
				table.Crashed(accused, crashed, now)
			}
			now = now.Add(partTrialDelay)
			is.Equal(table.PartTrialIn(parts, test.request, 0, now), test.wait)
			now = now.Add(test.wait)
			_, started := table.StartPartTrial(parts, test.request, 0, target, now)
			is.True(started)
			table.PartCrashed(parts[0], shop, target, now)
			if test.request == accused {
				table.Crashed(accused, target, now)
			}
			is.Equal(table.PartsVerdict(parts), test.verdict)
			if test.verdict == Doubtful {
				is.Equal(table.PartTrialIn(parts, unaccused, 0, now.Add(partTrialDelay)), time.Duration(0)) // one more
			}
		})
	}
}

// TestPartTrialsAreLimited checks that trials of which nothing is known don't go on.
func TestPartTrialsAreLimited(t *testing.T) {
	is := is.New(t)
	table := New()
	parts := partsOf("f")
	now := crashUnder(table, shop, time.Now(), parts, 1, 2, 3, 4)
	started := 0
	for target := range Incarnation(10) {
		now = now.Add(trialTimeout)
		if _, ok := table.StartPartTrial(parts, unaccused, 0, 20+target, now); ok {
			started++
		}
	}
	is.Equal(started, maxPartTrials)
}

// TestPartRetry checks that a lost request gets no further attempt once targets crashed at several
// moments under one of its parts, unless the part runs elsewhere.
func TestPartRetry(t *testing.T) {
	is := is.New(t)
	table := New()
	prompt := Prompt{shop, partsOf("a", "f")}
	nowhere := func(Fingerprint) bool { return false }
	elsewhere := func(Fingerprint) bool { return true }
	now := crashUnder(table, shop, time.Now(), partsOf("f"), 1)
	is.True(table.MayRetryParts(prompt, nowhere, now))
	now = crashUnder(table, shop, now, partsOf("f"), 2)
	is.True(!table.MayRetryParts(prompt, nowhere, now))
	is.True(table.MayRetryParts(prompt, elsewhere, now))
	table.PartsAnswered(partsOf("f"), now)
	is.True(table.MayRetryParts(prompt, nowhere, now))
}

// TestPartRecordsMerge checks that records of parts merge alike in any order, and survive their
// encoding.
func TestPartRecordsMerge(t *testing.T) {
	part := PartFingerprint("f")
	rapid.Check(t, func(t *rapid.T) {
		records := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Record {
			return Record{
				Fingerprint:  part,
				Epoch:        rapid.Uint32Range(0, 1).Draw(t, "epoch"),
				Incarnations: rapid.SliceOfN(rapid.Map(rapid.Uint32Range(1, 6), func(n uint32) Incarnation { return Incarnation(n) }), 0, 5).Draw(t, "incarnations"),
				Workspaces:   rapid.SliceOfN(rapid.Map(rapid.Uint32Range(1, 4), func(n uint32) Workspace { return Workspace(n) }), 0, 3).Draw(t, "workspaces"),
				Confirmed:    rapid.Bool().Draw(t, "confirmed"),
			}.Normal()
		}), 1, 5).Draw(t, "records")
		merge := func(records []Record) Record {
			merged := records[0]
			for _, record := range records[1:] {
				merged = merged.join(record)
			}
			return merged
		}
		merged := merge(records)
		reversed := slices.Clone(records)
		slices.Reverse(reversed)
		if !merged.Equal(merge(reversed)) || !merged.Equal(merged.join(records[0])) {
			t.Fatalf("%v merges to %v and %v", records, merged, merge(reversed))
		}
		data, err := Encode([]Record{merged})
		if err != nil {
			t.Fatal(err)
		}
		decoded, err := Decode(data)
		if err != nil || !decoded[0].Equal(merged) {
			t.Fatalf("%v becomes %v: %v", merged, decoded, err)
		}
	})
}

// BenchmarkParts measures what the parts of a request cost: their fingerprints, the look right before it
// is sent, and its answer.
func BenchmarkParts(b *testing.B) {
	prompt := Prompt{shop, partsOf("5c1e07a2", "91bd3f06", "e4402b7d")}
	idle, held := New(), New()
	now := crashUnder(held, shop, time.Now(), partsOf("f"), 1, 2, 3, 4)
	b.Run("fingerprints", func(b *testing.B) {
		for b.Loop() {
			partsOf("5c1e07a2", "91bd3f06", "e4402b7d")
		}
	})
	b.Run("look, nothing held", func(b *testing.B) {
		for b.Loop() {
			idle.SuspiciousParts(prompt, 0, now)
		}
	})
	b.Run("look, another part held", func(b *testing.B) {
		for b.Loop() {
			held.SuspiciousParts(prompt, 0, now)
		}
	})
	b.Run("answer", func(b *testing.B) {
		for b.Loop() {
			idle.PartsAnswered(prompt.Parts, now)
		}
	})
}
