package replica_test

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/capersaddle/capersaddle/internal/replica"
	"github.com/capersaddle/capersaddle/internal/wire"
)

// testCopy is a copy that records the changes passed to its ChangeFunc.
type testCopy struct {
	*replica.Copy
	values  map[string]string
	changes int
	// read holds the revision of the last value of each key that was passed on, and skipped the keys for
	// which OnSkipped was called.
	read    map[string]int64
	skipped []string
}

func newTestCopy(startupOnly ...string) *testCopy {
	k := &testCopy{values: make(map[string]string), read: make(map[string]int64)}
	k.Copy = replica.New(func(change replica.Item) bool {
		k.changes++
		if change.Gone {
			delete(k.values, change.Key)
			return true
		}
		k.values[change.Key], k.read[change.Key] = string(change.Value), change.Revision
		return string(change.Value) != "unreadable"
	}, startupOnly...)
	k.OnSkipped = func(key string) { k.skipped = append(k.skipped, key) }
	return k
}

// largeDocument returns a value of some ten kilobytes; versions differ in two short places.
func largeDocument(version int) []byte {
	var text strings.Builder
	fmt.Fprintf(&text, `{"version":%d,"routes":[`, version)
	for i := range 200 {
		weight := 90
		if i == version%200 {
			weight = version
		}
		fmt.Fprintf(&text, `{"name":"r-%d","host":"h%d.example","weight":%d},`, i*7919, i*104729, weight)
	}
	return []byte(text.String())
}

func put(key string, value []byte, revision int64) replica.Item {
	return replica.Item{Key: key, Value: value, Revision: revision}
}

// transfer passes one copy's content to another as bytes on a link, and returns their number.
func transfer(t testing.TB, from, to *testCopy) int {
	t.Helper()
	page := from.Page(to.Pull())
	data, err := proto.Marshal(page)
	is := is.New(t)
	is.NoErr(err)
	decoded := new(wire.ReplicaPage)
	is.NoErr(proto.Unmarshal(data, decoded))
	is.NoErr(to.Absorb(decoded))
	return len(data)
}

// TestLargeValueIsSentAsPatch guards against sending the whole value to each gateway with each
// change. A series of changes of 1,374 routes delayed the notice of a leaving target by more than
// 2 s.
func TestLargeValueIsSentAsPatch(t *testing.T) {
	is := is.New(t)
	asker, peer, late := newTestCopy(), newTestCopy(), newTestCopy()
	asker.Change([]replica.Item{put("c", largeDocument(1), 1)}, 1)
	whole := transfer(t, asker, peer)
	is.True(whole < len(largeDocument(1))/3) // compressed
	for version := 2; version <= 6; version++ {
		asker.Change([]replica.Item{put("c", largeDocument(version), int64(version))}, int64(version))
		is.True(transfer(t, asker, peer) < whole/10)
		is.Equal(peer.values, asker.values)
	}
	asker.Change([]replica.Item{put("c", largeDocument(7), 7)}, 7)
	asker.Change([]replica.Item{put("c", largeDocument(8), 8)}, 8)
	is.True(transfer(t, asker, peer) < whole/10) // two changes at once
	is.Equal(peer.values, asker.values)
	transfer(t, peer, late) // a copy that was updated by patches passes on the whole value
	is.Equal(late.values, asker.values)
	asker.Change([]replica.Item{put("c", largeDocument(9), 9)}, 9)
	transfer(t, asker, peer)
	is.True(transfer(t, peer, late) < whole/10) // and the patches too
	is.Equal(late.values, asker.values)
}

// TestStartupOnlyKeys guards against sending the checkpoint, some hundred kilobytes on a large
// site, to each of 102 gateways with each of its changes.
func TestStartupOnlyKeys(t *testing.T) {
	is := is.New(t)
	source, peer, late := newTestCopy("advice"), newTestCopy("advice"), newTestCopy("advice")
	source.Change([]replica.Item{put("advice", largeDocument(1), 1), put("c", []byte("one"), 2)}, 2)
	transfer(t, source, peer)
	is.Equal(peer.values, source.values) // an empty copy gets everything
	source.Change([]replica.Item{put("advice", largeDocument(2), 3)}, 3)
	is.True(transfer(t, source, peer) < 40)
	is.Equal(peer.Revision(), int64(3)) // it reaches the revision without the value
	is.Equal(peer.values["advice"], string(largeDocument(1)))
	source.Change([]replica.Item{put("c", []byte("two"), 4)}, 4)
	transfer(t, source, peer)
	is.Equal(peer.values["c"], "two")
	transfer(t, source, late)
	is.Equal(late.values, source.values)
	source.Replace([]replica.Item{put("advice", largeDocument(5), 6), put("c", []byte("two"), 4)}, 7)
	transfer(t, source, peer) // a whole page, after Replace
	is.Equal(peer.values, source.values)
	transfer(t, source, late)
	is.Equal(late.Revision(), source.Revision())
}

func TestInvalidPatchesChangeNothing(t *testing.T) {
	value := largeDocument(3)
	cases := map[string]func(page *wire.ReplicaPage){
		"wrong base":                func(page *wire.ReplicaPage) { page.Items[0].Patches[0].From = 7 },
		"missing patch":             func(page *wire.ReplicaPage) { page.Items[0].Patches = page.Items[0].Patches[1:] },
		"missing last patch":        func(page *wire.ReplicaPage) { page.Items[0].Patches = page.Items[0].Patches[:1] },
		"not compressed":            func(page *wire.ReplicaPage) { page.Items[0].Patches[0].Data = []byte("no") },
		"patch of another revision": func(page *wire.ReplicaPage) { page.Items[0].Patches[0].Data = page.Items[0].Patches[1].Data },
		"damaged whole value":       func(page *wire.ReplicaPage) { page.Items[0].Patches, page.Items[0].Packed = nil, []byte("no") },
		"unknown key":               func(page *wire.ReplicaPage) { page.Items[0].Key = "d" },
	}
	for name, corrupt := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			from, to := newTestCopy(), newTestCopy()
			from.Change([]replica.Item{put("c", largeDocument(1), 1)}, 1)
			transfer(t, from, to)
			from.Change([]replica.Item{put("c", largeDocument(2), 2)}, 2)
			from.Change([]replica.Item{put("c", value, 3)}, 3)
			page := from.Page(to.Pull())
			is.Equal(len(page.Items[0].Patches), 2)
			corrupt(page)
			is.True(to.Absorb(page) != nil)
			is.Equal(to.values["c"], string(largeDocument(1)))
			is.Equal(to.Revision(), int64(1))
			transfer(t, from, to) // requests the whole value
			is.Equal(to.values["c"], string(value))
			from.Change([]replica.Item{put("c", largeDocument(4), 4)}, 4)
			is.True(transfer(t, from, to) < 1000) // and patches again
		})
	}
}

// TestOlderGatewayGetsPlainValues checks the page for a gateway that knows neither packed values
// nor patches.
func TestOlderGatewayGetsPlainValues(t *testing.T) {
	is := is.New(t)
	from := newTestCopy()
	from.Change([]replica.Item{put("c", largeDocument(1), 1)}, 1)
	from.Change([]replica.Item{put("c", largeDocument(2), 2)}, 2)
	page := from.Page(&wire.ReplicaPull{Since: 1})
	is.Equal(len(page.Items), 1)
	is.Equal(string(page.Items[0].Value), string(largeDocument(2)))
}

func TestUnreadableUntilReplace(t *testing.T) {
	is := is.New(t)
	k := newTestCopy()
	is.True(k.Change([]replica.Item{put("a", []byte("yes"), 1)}, 1))
	is.True(!k.Change([]replica.Item{put("a", []byte("unreadable"), 2)}, 2))
	is.True(!k.Change(nil, 3))
	is.True(k.Replace([]replica.Item{put("a", []byte("again"), 4)}, 4))
}

func TestOlderRevisionIsIgnored(t *testing.T) {
	is := is.New(t)
	k := newTestCopy()
	k.Change([]replica.Item{put("a", []byte("1"), 5)}, 5)
	k.Change([]replica.Item{{Key: "a", Revision: 7, Gone: true}}, 7)
	k.Change([]replica.Item{put("a", []byte("1"), 6)}, 6)
	is.Equal(len(k.values), 0)
	is.Equal(k.Revision(), int64(7))
	is.True(k.Replace(nil, 3)) // an outdated reading
	is.Equal(k.Revision(), int64(7))
}

// TestRemovalsBeforeReplace checks that a copy that has read the whole store passes on removals of
// keys that it never knew. Found by TestCopiesAgree.
func TestRemovalsBeforeReplace(t *testing.T) {
	is := is.New(t)
	behind, restarted := newTestCopy(), newTestCopy()
	behind.Change([]replica.Item{put("goes", []byte("1"), 1), put("large", largeDocument(1), 2)}, 2)
	restarted.Replace([]replica.Item{put("large", largeDocument(1), 2)}, 3)
	is.True(transfer(t, restarted, behind) < 200) // the large value is not sent again
	is.Equal(behind.values, map[string]string{"large": string(largeDocument(1))})
}

// TestRemovalOfUnknownKey checks that a removal is passed on through a copy that never knew the
// key. Found by TestCopiesAgree (-rapid.seed=196735256376088346).
func TestRemovalOfUnknownKey(t *testing.T) {
	is := is.New(t)
	early, holds, late := newTestCopy(), newTestCopy(), newTestCopy()
	a, b := put("a", []byte("0"), 1), put("b", []byte("1"), 2)
	early.Change([]replica.Item{a}, 1)
	holds.Change([]replica.Item{a, b}, 2)
	late.Change([]replica.Item{a, {Key: "b", Revision: 3, Gone: true}}, 3)
	transfer(t, late, early)
	transfer(t, early, holds)
	is.Equal(holds.values, late.values)
}

// TestWholePageOmitsHeldValues guards against sending three thousand targets to each gateway after
// every reading of the whole store.
func TestWholePageOmitsHeldValues(t *testing.T) {
	is := is.New(t)
	behind, restarted := newTestCopy(), newTestCopy()
	var items []replica.Item
	for i := range int64(100) {
		items = append(items, put(fmt.Sprintf("target-%d", i), []byte(strings.Repeat("x", 300)), i+1))
	}
	behind.Change(items, 100)
	restarted.Replace(append(items, put("added", []byte("1"), 102)), 102)
	size := transfer(t, restarted, behind)
	is.True(size < 100*40)
	is.Equal(behind.values, restarted.values)
	other := newTestCopy() // it doesn't hold the values that the page omits
	page := restarted.Page(behind.Pull())
	page.Items = append(page.Items, &wire.ReplicaItem{Key: "unknown", Revision: 50, Kept: true})
	is.True(other.Absorb(page) != nil)
	is.Equal(other.Pull().GetSince(), int64(0))
	transfer(t, restarted, other)
	is.Equal(other.values, restarted.values)
}

// TestTrimmedRemovals checks that a copy that is behind trimmed removals gets a whole page.
func TestTrimmedRemovals(t *testing.T) {
	is := is.New(t)
	k, other := newTestCopy(), newTestCopy()
	k.Change([]replica.Item{put("stays", []byte("1"), 1), put("goes", []byte("1"), 2)}, 2)
	transfer(t, k, other)
	k.Change([]replica.Item{{Key: "goes", Revision: 3, Gone: true}}, 3)
	const many = 5000
	for i := range int64(many) {
		key := fmt.Sprintf("short-lived-%d", i)
		k.Change([]replica.Item{put(key, []byte("1"), 4+2*i), {Key: key, Revision: 5 + 2*i, Gone: true}}, 5+2*i)
	}
	transfer(t, k, other)
	is.Equal(other.values, map[string]string{"stays": "1"})
}

// TestLateAnswerBringsNothingBack guards against a removed key that a copy holds for good: an answer that
// was made before the removal arrived after another one by which the copy had passed it.
func TestLateAnswerBringsNothingBack(t *testing.T) {
	a, b, removed := put("a", []byte("1"), 1), put("b", []byte("1"), 6), put("removed", []byte("1"), 3)
	removal := replica.Item{Key: "removed", Revision: 5, Gone: true}
	// passed is a copy that has seen all, and earlier one that has not seen the removal.
	passed, earlier := newTestCopy(), newTestCopy()
	passed.Change([]replica.Item{a, removed, removal, b}, 6)
	earlier.Change([]replica.Item{a, removed}, 4)
	cases := map[string]struct {
		first, late func(t *testing.T, k *testCopy)
	}{
		"a watch after a page": {
			func(t *testing.T, k *testCopy) {
				k.Replace([]replica.Item{a}, 2)
				transfer(t, passed, k)
			},
			func(_ *testing.T, k *testCopy) { k.Change([]replica.Item{removed}, 4) },
		},
		"a whole reading after a page": {
			func(t *testing.T, k *testCopy) {
				k.Replace([]replica.Item{a}, 2)
				transfer(t, passed, k)
			},
			func(_ *testing.T, k *testCopy) { k.Replace([]replica.Item{a, removed}, 4) },
		},
		"a watch, after a whole reading that lacks another life of the key": {
			func(_ *testing.T, k *testCopy) {
				k.Change([]replica.Item{put("removed", nil, 1), {Key: "removed", Revision: 2, Gone: true}}, 2)
				k.Replace([]replica.Item{a, b}, 6)
			},
			func(_ *testing.T, k *testCopy) { k.Change([]replica.Item{removed}, 4) },
		},
		"a whole reading after a whole page": {
			func(t *testing.T, k *testCopy) { transfer(t, passed, k) },
			func(_ *testing.T, k *testCopy) { k.Replace([]replica.Item{a, removed}, 4) },
		},
		"a whole page after a whole reading": {
			func(_ *testing.T, k *testCopy) { k.Replace([]replica.Item{a, b}, 6) },
			func(t *testing.T, k *testCopy) {
				is.New(t).NoErr(k.Absorb(earlier.Page(&wire.ReplicaPull{Packs: true, PacksPages: true})))
			},
		},
		"a page after a whole reading": {
			func(_ *testing.T, k *testCopy) { k.Replace([]replica.Item{a, b}, 6) },
			func(t *testing.T, k *testCopy) {
				is.New(t).NoErr(k.Absorb(earlier.Page(&wire.ReplicaPull{Since: 2, Packs: true, PacksPages: true})))
			},
		},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			k, next := newTestCopy(), newTestCopy()
			tc.first(t, k)
			tc.late(t, k)
			is.Equal(k.Revision(), int64(6))
			is.Equal(k.values, passed.values)
			transfer(t, k, next)
			is.Equal(next.values, passed.values) // nor does it pass the key on
		})
	}
}

// TestLateAnswersAgree is like TestCopiesAgree with answers that arrive after later ones.
func TestLateAnswersAgree(t *testing.T) {
	keys := []string{"a", "b", "large"}
	rapid.Check(t, func(t *rapid.T) {
		var history []replica.Item
		store := make(map[string]replica.Item)
		copies := []*testCopy{newTestCopy(), newTestCopy()}
		// underway are the answers that have been made and not arrived.
		var underway []func()
		now := func() int64 { return int64(len(history)) }
		write := func(change replica.Item) {
			history, store[change.Key] = append(history, change), change
			if change.Gone {
				delete(store, change.Key)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"write": func(t *rapid.T) {
				key, value := rapid.SampledFrom(keys).Draw(t, "key"), []byte(fmt.Sprint(now()))
				if key == "large" {
					value = largeDocument(len(history))
				}
				write(put(key, value, now()+1))
			},
			"removal": func(t *rapid.T) {
				key := rapid.SampledFrom(keys).Draw(t, "key")
				if _, ok := store[key]; ok {
					write(replica.Item{Key: key, Revision: now() + 1, Gone: true})
				}
			},
			"watch": func(t *rapid.T) {
				k, at := rapid.SampledFrom(copies).Draw(t, "copy"), now()
				changes := history[k.Revision():at]
				underway = append(underway, func() { k.Change(changes, at) })
			},
			"whole reading": func(t *rapid.T) {
				k, at, items := rapid.SampledFrom(copies).Draw(t, "copy"), now(), slices.Collect(maps.Values(store))
				underway = append(underway, func() { k.Replace(items, at) })
			},
			"page": func(t *rapid.T) {
				from, to := rapid.SampledFrom(copies).Draw(t, "from"), rapid.SampledFrom(copies).Draw(t, "to")
				page := from.Page(to.Pull())
				underway = append(underway, func() { _ = to.Absorb(page) }) // one that can't be read changes nothing
			},
			"arrival": func(t *rapid.T) {
				if len(underway) == 0 {
					return
				}
				number := rapid.IntRange(0, len(underway)-1).Draw(t, "number")
				arrive := underway[number]
				underway = slices.Delete(underway, number, number+1)
				arrive()
			},
			"": func(t *rapid.T) {
				for i, k := range copies {
					if k.Revision() != now() {
						continue
					}
					for key := range k.values {
						if _, listed := store[key]; !listed {
							t.Fatalf("copy %d holds %q at revision %d, the store does not", i, key, now())
						}
					}
					if len(k.values) != len(store) {
						t.Fatalf("copy %d holds %d keys at revision %d, the store %d", i, len(k.values), now(), len(store))
					}
				}
			},
		})
	})
}

// TestCopiesAgree checks that copies never go back to older values, whatever part of a store's
// history they receive, from the store or from each other, in any order, and that a copy that has
// reached the store's revision holds the store's content.
func TestCopiesAgree(t *testing.T) {
	keys := []string{"a", "b", "large"}
	rapid.Check(t, func(t *rapid.T) {
		var history []replica.Item
		store := make(map[string]string)
		copies := []*testCopy{newTestCopy(), newTestCopy(), newTestCopy()}
		reached := make([]map[string]int64, len(copies))
		now := func() int64 { return int64(len(history)) }
		t.Repeat(map[string]func(*rapid.T){
			"write": func(t *rapid.T) {
				key := rapid.SampledFrom(keys).Draw(t, "key")
				value := []byte(fmt.Sprint(now()))
				if key == "large" {
					value = largeDocument(len(history))
				}
				history = append(history, put(key, value, now()+1))
				store[key] = string(value)
			},
			"removal": func(t *rapid.T) {
				key := rapid.SampledFrom(keys).Draw(t, "key")
				if _, ok := store[key]; !ok {
					return
				}
				history = append(history, replica.Item{Key: key, Revision: now() + 1, Gone: true})
				delete(store, key)
			},
			"watch": func(t *rapid.T) {
				k := rapid.SampledFrom(copies).Draw(t, "copy")
				from := min(k.Revision(), rapid.Int64Range(0, now()).Draw(t, "from"))
				k.Change(history[from:], now())
			},
			"whole reading": func(t *rapid.T) {
				k := rapid.SampledFrom(copies).Draw(t, "copy")
				newest := make(map[string]replica.Item)
				for _, change := range history {
					newest[change.Key] = change
				}
				maps.DeleteFunc(newest, func(_ string, i replica.Item) bool { return i.Gone })
				k.Replace(slices.Collect(maps.Values(newest)), now())
			},
			"page": func(t *rapid.T) {
				from := rapid.SampledFrom(copies).Draw(t, "from")
				to := rapid.SampledFrom(copies).Draw(t, "to")
				if err := to.Absorb(from.Page(to.Pull())); err != nil {
					t.Fatal(err)
				}
			},
			"": func(t *rapid.T) {
				for i, k := range copies {
					held := make(map[string]int64)
					for _, value := range k.Pull().GetHeld() {
						held[value.GetKey()] = value.GetRevision()
						if value.GetRevision() < reached[i][value.GetKey()] {
							t.Fatalf("copy %d went back", i)
						}
					}
					reached[i] = held
					if k.Revision() == now() && !maps.Equal(k.values, store) {
						t.Fatalf("copy %d holds %d keys at revision %d, the store %d", i, len(k.values), now(), len(store))
					}
				}
			},
		})
	})
}

// TestSkippedHistoryIsReported guards against a copy that counts as having seen all that came and went,
// although a key was added and removed again in a part of the history that it never read.
func TestSkippedHistoryIsReported(t *testing.T) {
	keys := []string{"a", "b", "c"}
	rapid.Check(t, func(t *rapid.T) {
		var history []replica.Item
		// listed holds, for each revision, the items of the store at it.
		listed := []map[string]replica.Item{{}}
		now := func() int64 { return int64(len(history)) }
		write := func(change replica.Item) {
			next := maps.Clone(listed[now()])
			next[change.Key] = change
			if change.Gone {
				delete(next, change.Key)
			}
			history, listed = append(history, change), append(listed, next)
		}
		copies := []*testCopy{newTestCopy(), newTestCopy(), newTestCopy()}
		checked, reports := make([]int64, len(copies)), make([]int, len(copies))
		t.Repeat(map[string]func(*rapid.T){
			"write": func(t *rapid.T) {
				write(put(rapid.SampledFrom(keys).Draw(t, "key"), []byte("1"), now()+1))
			},
			"removal": func(t *rapid.T) {
				key := rapid.SampledFrom(keys).Draw(t, "key")
				if _, ok := listed[now()][key]; ok {
					write(replica.Item{Key: key, Revision: now() + 1, Gone: true})
				}
			},
			"watch": func(t *rapid.T) {
				k := rapid.SampledFrom(copies).Draw(t, "copy")
				k.Change(history[k.Revision():], now())
			},
			"whole reading": func(t *rapid.T) {
				k := rapid.SampledFrom(copies).Draw(t, "copy")
				k.Replace(slices.Collect(maps.Values(listed[now()])), now())
			},
			"page": func(t *rapid.T) {
				from := rapid.SampledFrom(copies).Draw(t, "from")
				to := rapid.SampledFrom(copies).Draw(t, "to")
				if err := to.Absorb(from.Page(to.Pull())); err != nil {
					t.Fatal(err)
				}
			},
			"": func(t *rapid.T) {
				for i, k := range copies {
					before, after, reported := checked[i], k.Revision(), len(k.skipped) > reports[i]
					checked[i], reports[i] = after, len(k.skipped)
					if before == 0 || reported {
						continue
					}
					for _, change := range history[before:after] {
						_, wasListed := listed[before][change.Key]
						_, isListed := listed[after][change.Key]
						if !wasListed && !isListed && k.read[change.Key] <= before {
							t.Fatalf("copy %d went from revision %d to %d and never read %q", i, before, after, change.Key)
						}
					}
				}
			},
		})
	})
}

// TestSkippedHistory guards against a whole reading that counts as a gap although it shows all that has
// changed, and against whole pages for all other copies after it.
func TestSkippedHistory(t *testing.T) {
	const before = 3
	a, b := put("a", []byte("1"), 1), put("b", []byte("1"), 3)
	cases := map[string]struct {
		update  func(k *testCopy)
		skipped []string
		// whole reports whether another copy at the earlier revision gets a whole page, and other what
		// that has skipped then.
		whole bool
		other []string
	}{
		"changes":                    {func(k *testCopy) { k.Change([]replica.Item{put("a", nil, 4), put("a", nil, 6)}, 6) }, nil, false, nil},
		"whole, no change":           {func(k *testCopy) { k.Replace([]replica.Item{a, b}, 3) }, nil, false, nil},
		"whole, older":               {func(k *testCopy) { k.Replace([]replica.Item{a}, 2) }, nil, false, nil},
		"whole, all shown":           {func(k *testCopy) { k.Replace([]replica.Item{put("a", nil, 5), b, put("c", nil, 4)}, 5) }, nil, false, nil},
		"whole, one change missing":  {func(k *testCopy) { k.Replace([]replica.Item{put("a", nil, 5), b}, 5) }, []string{""}, true, []string{""}},
		"whole, a key removed":       {func(k *testCopy) { k.Replace([]replica.Item{b}, 4) }, []string{""}, true, []string{""}},
		"whole, changed while read":  {func(k *testCopy) { k.Replace([]replica.Item{put("a", nil, 4), put("b", nil, 6)}, 4) }, []string{""}, true, []string{""}},
		"unknown key removed":        {func(k *testCopy) { k.Change([]replica.Item{{Key: "c", Gone: true, Revision: 5}}, 5) }, []string{"c"}, true, []string{""}},
		"unknown key removed before": {func(k *testCopy) { k.Change([]replica.Item{{Key: "c", Gone: true, Revision: 3}}, 4) }, nil, false, nil},
		"removed key removed":        {func(k *testCopy) { k.Change([]replica.Item{{Key: "old", Gone: true, Revision: 5}}, 5) }, []string{"old"}, false, []string{"old"}},
		"added and removed":          {func(k *testCopy) { k.Change([]replica.Item{put("c", nil, 4), {Key: "c", Gone: true, Revision: 5}}, 5) }, nil, false, []string{"c"}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			k, other := newTestCopy(), newTestCopy()
			k.Change([]replica.Item{a, put("old", nil, 1)}, 1)
			k.Change([]replica.Item{{Key: "old", Gone: true, Revision: 2}, b}, before)
			transfer(t, k, other)
			is.Equal(len(k.skipped)+len(other.skipped), 0) // a first copy, or a page of all that has changed, skips nothing
			tc.update(k)
			is.Equal(k.skipped, tc.skipped)
			is.Equal(k.Page(other.Pull()).GetWhole(), tc.whole)
			transfer(t, k, other)
			is.Equal(other.values, k.values)
			is.Equal(other.skipped, tc.other)
		})
	}
}

// TestWholeCopyOfManyTargetsIsPacked guards against large whole copies. With 300 gateways and
// 3,000 targets most bytes between data centres were whole copies for starting gateways, and
// gateways on links of 10 Mbit/s could not send one within its timeout.
func TestWholeCopyOfManyTargetsIsPacked(t *testing.T) {
	is := is.New(t)
	from, to := newTestCopy(), newTestCopy()
	var items []replica.Item
	size := 0
	for i := range 3000 {
		value := fmt.Sprintf(`{"service":"puye52a","address":"10.%d.64.%d:8080","zone":"tema-hall","version":"v1","slots":64,"state":"ready","cold_remaining_ms":0,"stage":"prefill_decode","models":[{"name":"m","version":1,"adapters":[]}],"sequence":%d}`, i/250, i%250, i%7)
		items = append(items, put(fmt.Sprintf("servers/i-%010x", uint64(i)*0x9e3779b97f4a7c15>>24), []byte(value), int64(i+1)))
		size += len(value)
	}
	from.Replace(items, 3000)
	sent := transfer(t, from, to)
	is.True(sent < size/8)
	is.Equal(to.values, from.values)
	old := from.Page(&wire.ReplicaPull{Packs: true}) // a gateway that can't unpack pages
	is.Equal(len(old.GetItems()), 3000)
}

// TestDamagedPageChangesNothing checks that a damaged page is ignored and that the next pull asks
// for the whole content.
func TestDamagedPageChangesNothing(t *testing.T) {
	is := is.New(t)
	from, to := newTestCopy(), newTestCopy()
	for i := range 200 {
		from.Change([]replica.Item{put(fmt.Sprint("servers/", i), []byte("a value of a target"), int64(i+1))}, int64(i+1))
	}
	page := from.Page(to.Pull())
	is.True(len(page.GetPackedItems()) > 0)
	page.PackedItems = page.GetPackedItems()[:len(page.GetPackedItems())/2]
	is.True(to.Absorb(page) != nil)
	is.Equal(len(to.values), 0)
	is.Equal(to.Pull().GetSince(), int64(0))
	transfer(t, from, to)
	is.Equal(to.values, from.values)
}

func BenchmarkPage(b *testing.B) {
	from := newTestCopy()
	from.Change([]replica.Item{put("c", largeDocument(1), 1)}, 1)
	to := newTestCopy()
	transfer(b, from, to)
	revision := int64(1)
	for b.Loop() {
		revision++
		from.Change([]replica.Item{put("c", largeDocument(int(revision)), revision)}, revision)
		b.SetBytes(int64(transfer(b, from, to)))
	}
}

// TestReadersDontWaitForChangeFunc guards against a gateway that hangs for good: its ChangeFunc waited
// for a lock whose holder waited for the copy's lock, to read the revision.
func TestReadersDontWaitForChangeFunc(t *testing.T) {
	updates := map[string]func(c *replica.Copy) error{
		"changes": func(c *replica.Copy) error {
			c.Change([]replica.Item{put("a", []byte("new"), 2)}, 2)
			return nil
		},
		"a whole reading": func(c *replica.Copy) error {
			c.Replace([]replica.Item{put("a", []byte("new"), 2)}, 2)
			return nil
		},
		"a page": func(c *replica.Copy) error {
			return c.Absorb(&wire.ReplicaPage{Revision: 2, Items: []*wire.ReplicaItem{{Key: "a", Value: []byte("new"), Revision: 2}}})
		},
	}
	for name, update := range updates {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			entered, done := make(chan struct{}), make(chan struct{})
			c := replica.New(func(replica.Item) bool {
				close(entered)
				<-done // until the reader below has finished
				return true
			})
			updated := make(chan error, 1)
			go func() { updated <- update(c) }()
			<-entered
			is.Equal(c.Revision(), int64(0)) // not reached before ChangeFunc has returned
			is.Equal(string(c.Value("a")), "new")
			is.True(c.Pull() != nil)
			is.Equal(len(c.Page(c.Pull()).GetItems()), 1)
			close(done)
			is.NoErr(<-updated)
			is.Equal(c.Revision(), int64(2))
		})
	}
}
