package quarantine_test

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/capersaddle/capersaddle/internal/quarantine"
)

const print = quarantine.Fingerprint(0xfeed)

// crash has so many targets end under a request, numbered from a number on.
func crash(table *quarantine.Table, print quarantine.Fingerprint, from, count int, now time.Time) quarantine.Change {
	var change quarantine.Change
	for life := range count {
		change = table.Crashed(print, quarantine.Instance(from+life), now)
	}
	return change
}

// TestHeldAfterTheThirdEnd: not before, and an end that is reported twice counts once.
func TestHeldAfterTheThirdEnd(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	table := quarantine.New()
	is.True(!crash(table, print, 1, 2, now).HoldStarted())
	is.True(!table.Crashed(print, 2, now).Changed) // two of its copies were under way there
	is.True(!table.Held(print, now))
	is.True(table.Suspicious(print))
	is.True(crash(table, print, 3, 1, now).HoldStarted())
	is.True(table.Held(print, now))
	is.True(!table.Held(print+1, now))
	is.Equal(table.HeldRequests(now), []quarantine.HeldRequest{{Fingerprint: print, Crashes: 3, Remaining: quarantine.FirstTerm}})
}

// TestTerms: it ends, and grows with each further end, up to the last.
func TestTerms(t *testing.T) {
	now := time.Now()
	cases := map[string]struct {
		ends int
		term time.Duration
	}{
		"three":      {3, quarantine.FirstTerm},
		"four":       {4, 2 * time.Hour},
		"five":       {5, quarantine.MaxTerm},
		"sixteen":    {16, quarantine.MaxTerm},
		"a thousand": {1000, quarantine.MaxTerm},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			table := quarantine.New()
			crash(table, print, 1, tc.ends, now)
			is.True(table.Held(print, now.Add(tc.term-time.Second)))
			is.True(!table.Held(print, now.Add(tc.term)))
		})
	}
}

// TestARequestThatComesSeldom: it ends one target each time that it is sent. However seldom it
// comes, up to once an hour, no more than three end later than the third in a day.
func TestARequestThatComesSeldom(t *testing.T) {
	const mostLater = 3
	for _, every := range []time.Duration{time.Second, time.Minute, 9 * time.Minute, 15 * time.Minute, 25 * time.Minute, 55 * time.Minute} {
		t.Run(every.String(), func(t *testing.T) {
			is := is.New(t)
			now := time.Now()
			table := quarantine.New()
			ends := 0
			for end := now.Add(24 * time.Hour); now.Before(end); now = now.Add(every) {
				table.Records(now) // forgets what is over, as the checkpoint has it do all the time
				if table.Held(print, now) {
					continue
				}
				ends++
				table.Crashed(print, quarantine.Instance(ends), now)
			}
			is.True(ends <= quarantine.Limit+mostLater)
		})
	}
}

// TestOnTrialAgain: behind its term one more end holds it back anew.
func TestOnTrialAgain(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	table := quarantine.New()
	crash(table, print, 1, 3, now)
	now = now.Add(quarantine.FirstTerm)
	is.True(!table.Held(print, now))
	crash(table, print, 4, 1, now)
	is.True(table.Held(print, now.Add(quarantine.FirstTerm)))
}

// TestAnAnswerClears: whatever was held against it, everywhere, and for good.
func TestAnAnswerClears(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	one, other := quarantine.New(), quarantine.New()
	crash(one, print, 1, 3, now)
	stale := one.Records(now)[0]
	is.True(other.Merge(stale, now).HoldStarted())
	cleared := other.Answered(print, now)
	is.True(cleared.HoldEnded())
	is.True(cleared.Broadcast()) // all are to know
	is.True(one.Merge(cleared.Record, now).HoldEnded())
	is.True(!one.Held(print, now))
	late := one.Merge(stale, now) // who has not heard of it yet
	is.True(!late.Changed)
	is.True(late.NewToSender) // gets it in return
	is.True(!one.Held(print, now))
	is.True(!other.Answered(print, now).Changed)
}

// TestManySendItAlike: a request that is answered all the time is not held back because a
// data centre lost power while it was under way at many targets there.
func TestManySendItAlike(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	table := quarantine.New()
	table.Answered(print, now)
	is.True(!table.Crashed(print, 1, now).Changed) // it has just been answered
	is.True(table.Crashed(print, 2, now).Changed)
	is.True(table.Answered(print, now).Changed)
	table.Answered(print, now)
	is.True(table.Crashed(print, 3, now.Add(2*time.Minute)).Changed) // that was too long ago
	is.True(!table.Held(print, now))
}

// TestALiftClears: operators may have it sent again.
func TestALiftClears(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	table := quarantine.New()
	is.True(!table.Lift(print, now).Changed)
	crash(table, print, 1, 5, now)
	is.True(table.Lift(print, now).HoldEnded())
	is.True(!table.Held(print, now))
	is.Equal(len(table.HeldRequests(now)), 0)
}

// TestRecordsAreForgotten: one that says nothing any more goes.
func TestRecordsAreForgotten(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	table := quarantine.New()
	crash(table, print, 1, 2, now)
	crash(table, print+1, 1, 3, now)
	crash(table, print+2, 1, 1, now)
	table.Answered(print+2, now)
	is.Equal(len(table.Records(now)), 3)
	is.Equal(len(table.Records(now.Add(10*time.Minute))), 2) // that it was cleared is old
	is.Equal(len(table.Records(now.Add(time.Hour))), 1)
	is.Equal(len(table.Records(now.Add(quarantine.FirstTerm+time.Hour))), 0)
	is.True(table.Empty())
}

// TestTheConvictedStay: however many suspects there are, as after the loss of a data centre,
// those that are held back are not the ones that are forgotten.
func TestTheConvictedStay(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	table := quarantine.New()
	for held := range 100 {
		crash(table, quarantine.Fingerprint(held), 1, 3, now)
	}
	const many = 50_000
	for suspect := range many {
		crash(table, quarantine.Fingerprint(1000+suspect), 1, 1, now)
	}
	is.True(len(table.Records(now)) <= 8192)
	for held := range 100 {
		is.True(table.Held(quarantine.Fingerprint(held), now))
	}
	is.True(table.Crashed(quarantine.Fingerprint(1000+many-1), 2, now).Before == 1) // the latest are known
}

// TestRecordsJoinInAnyOrder: whatever gateways see and however their records reach each
// other, twice or late, all come to know the same.
func TestRecordsJoinInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Now()
		tables := []*quarantine.Table{quarantine.New(), quarantine.New(), quarantine.New()}
		var sent []quarantine.Record
		anyTable := rapid.IntRange(0, len(tables)-1)
		for range rapid.IntRange(0, 60).Draw(t, "steps") {
			table := tables[anyTable.Draw(t, "gateway")]
			of := quarantine.Fingerprint(rapid.IntRange(1, 3).Draw(t, "request"))
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				sent = append(sent, table.Crashed(of, quarantine.Instance(rapid.IntRange(1, 30).Draw(t, "life")), now).Record)
			case 2:
				sent = append(sent, table.Lift(of, now).Record)
			case 3:
				if len(sent) > 0 {
					table.Merge(rapid.SampledFrom(sent).Draw(t, "late"), now)
				}
			}
		}
		for range tables {
			for _, from := range tables {
				records := from.Records(now)
				for _, to := range tables {
					for _, at := range rapid.Permutation(indices(len(records))).Draw(t, "order") {
						to.Merge(records[at], now)
					}
				}
			}
		}
		for _, table := range tables[1:] {
			if !slices.EqualFunc(table.Records(now), tables[0].Records(now), quarantine.Record.Equal) {
				t.Fatalf("%v and %v", table.Records(now), tables[0].Records(now))
			}
			if table.Digest() != tables[0].Digest() {
				t.Fatal("the same records have two digests")
			}
		}
	})
}

func indices(count int) []int {
	all := make([]int, count)
	for i := range all {
		all[i] = i
	}
	return all
}

// TestADigestTellsRecordsApart: of those at the limit.
func TestADigestTellsRecordsApart(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	table := quarantine.New()
	crash(table, print, 1, 2, now)
	is.Equal(table.Digest(), uint64(0))
	seen := map[uint64]bool{0: true}
	for _, change := range []func(){
		func() { crash(table, print, 3, 1, now) },
		func() { crash(table, print, 4, 1, now) },
		func() { crash(table, print+1, 1, 3, now) },
		func() { table.Lift(print+1, now); crash(table, print+1, 1, 3, now) },
	} {
		change()
		is.True(!seen[table.Digest()])
		seen[table.Digest()] = true
	}
}

// TestWhateverAMessageHas: a record that another process wrote is in order here.
func TestWhateverAMessageHas(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		message := quarantine.Record{Fingerprint: print}.Message()
		message.Epoch = rapid.Uint32().Draw(t, "epoch")
		message.Lives = rapid.SliceOfN(rapid.Uint32Range(0, 40), 0, 60).Draw(t, "lives")
		record := quarantine.RecordOf(message)
		if len(record.Instances) > 16 || !slices.IsSorted(record.Instances) || len(slices.Compact(slices.Clone(record.Instances))) != len(record.Instances) {
			t.Fatalf("%v", record)
		}
		if again := quarantine.RecordOf(record.Message()); !again.Equal(record) {
			t.Fatalf("%v became %v", record, again)
		}
	})
}

// TestWhoHasAnsweredItObjects: three targets end at once, at three gateways, while a request
// that many send alike is under way at each; a fourth gateway has just had it answered. It is
// not held back, whoever learns first, and an answer is an objection only once: what was sound
// a moment ago may have become fatal.
func TestWhoHasAnsweredItObjects(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	answered, others := quarantine.New(), quarantine.New()
	answered.Answered(print, now)
	crash(others, print, 1, 3, now)
	is.True(others.Held(print, now))
	heard := answered.Merge(others.Records(now)[0], now)
	is.True(!answered.Held(print, now))
	is.True(heard.Broadcast())    // all are to know
	is.True(heard.NewToSender)    // the sender among them
	is.True(!heard.HoldStarted()) // nobody held it back here
	is.True(others.Merge(heard.Record, now).HoldEnded())
	is.True(!others.Held(print, now))
	crash(others, print, 4, 3, now)
	answered.Merge(others.Records(now)[0], now)
	is.True(answered.Held(print, now)) // not twice for the same answer
}

// TestAnObjectionIsOfAMomentAgo: an answer of long ago is none.
func TestAnObjectionIsOfAMomentAgo(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	answered, others := quarantine.New(), quarantine.New()
	answered.Answered(print, now)
	now = now.Add(2 * time.Minute)
	crash(others, print, 1, 3, now)
	answered.Merge(others.Records(now)[0], now)
	is.True(answered.Held(print, now))
}
