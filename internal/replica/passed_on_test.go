package replica_test

import (
	"fmt"
	"maps"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/capersaddle/capersaddle/internal/replica"
)

// modelStore is a store whose content at each revision is known.
type modelStore struct {
	changes []replica.Item
}

// put writes a key, or removes it.
func (m *modelStore) put(key string, gone bool) {
	revision := int64(len(m.changes) + 1)
	change := replica.Item{Key: key, Revision: revision, Gone: gone}
	if !gone {
		change.Value = fmt.Append(nil, "value ", revision)
	}
	m.changes = append(m.changes, change)
}

// at returns the content at a revision without the keys that only a starting process needs.
func (m *modelStore) at(revision int64) map[string]string {
	content := make(map[string]string)
	for _, change := range m.changes[:revision] {
		switch {
		case strings.HasPrefix(change.Key, ownPrefix):
		case change.Gone:
			delete(content, change.Key)
		default:
			content[change.Key] = string(change.Value)
		}
	}
	return content
}

// whole returns all items at the present revision.
func (m *modelStore) whole() []replica.Item {
	last := make(map[string]replica.Item)
	for _, change := range m.changes {
		last[change.Key] = change
	}
	var items []replica.Item
	for _, item := range last {
		if !item.Gone {
			items = append(items, item)
		}
	}
	return items
}

// ownPrefix is that of the keys that only a starting process needs.
const ownPrefix = "own/"

// withoutOwn returns the content of a copy without those keys.
func (k *testCopy) withoutOwn() map[string]string {
	content := maps.Clone(k.values)
	maps.DeleteFunc(content, func(key, _ string) bool { return strings.HasPrefix(key, ownPrefix) })
	return content
}

// isAhead reports whether a copy pulls from another one.
func isAhead(other, own *testCopy) bool { return other.PassedOn() > own.Revision() }

// TestPassedOnRevision guards against a copy that takes another's proof although it lacks a change, and
// against copies that pull again and again because of keys that only starting processes need.
func TestPassedOnRevision(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		is := is.New(rt)
		store := new(modelStore)
		store.put("a", false)
		copies := make([]*testCopy, 4) // the first two read the store
		for i := range copies {
			copies[i] = newTestCopy(ownPrefix)
		}
		readers, all := copies[:2], copies
		steps := rapid.IntRange(1, 60).Draw(rt, "steps")
		for range steps {
			reader := rapid.SampledFrom(readers).Draw(rt, "reader")
			switch rapid.IntRange(0, 5).Draw(rt, "step") {
			case 0:
				store.put(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "key"), rapid.Bool().Draw(rt, "gone"))
			case 1:
				store.put(ownPrefix+rapid.SampledFrom([]string{"x", "y"}).Draw(rt, "key"), false)
			case 2:
				reader.Change(store.changes[reader.Revision():], int64(len(store.changes)))
			case 3:
				reader.Replace(store.whole(), int64(len(store.changes)))
			default:
				from, to := rapid.SampledFrom(all).Draw(rt, "from"), rapid.SampledFrom(all).Draw(rt, "to")
				if from != to && isAhead(from, to) {
					transfer(t, from, to)
				}
			}
			for _, one := range all {
				is.Equal(one.withoutOwn(), store.at(one.Revision())) // complete up to its revision
				for _, other := range all {
					if one.Revision() >= other.PassedOn() { // it would take the other's proof
						is.Equal(one.withoutOwn(), store.at(max(one.Revision(), other.Revision())))
					}
				}
			}
		}
		readAll := func() {
			for _, reader := range readers {
				reader.Change(store.changes[reader.Revision():], int64(len(store.changes)))
			}
		}
		readAll()
		for range copies { // until all have what is passed on
			for _, to := range all {
				for _, from := range all {
					if isAhead(from, to) {
						transfer(t, from, to)
					}
				}
			}
		}
		for range 3 {
			store.put(ownPrefix+"x", false)
			readAll()
		}
		for _, to := range all {
			for _, from := range all {
				is.True(!isAhead(from, to))
			}
		}
	})
}
