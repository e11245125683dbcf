// Package replica keeps a process's copy of the store's content, by the revision of each key, and
// passes it on to other processes. Whether a change comes from the store or from another process,
// the newest revision of a key wins.
//
// Large values are passed on as patches: a configuration of a thousand routes would saturate a
// small host's link if it were sent to each of thirty gateways. Source: docs/design/platform.md,
// "Configuration and servers".
package replica

import (
	"maps"
	"slices"
	"strings"
	"sync"
)

// Item is one key of the store, or a change of it.
type Item struct {
	Key string
	// Value must not be modified by holders of the item.
	Value    []byte
	Revision int64
	// Gone reports whether the key was removed; Value is nil then.
	Gone bool
}

// ChangeFunc is called with each change that is newer than the known revision of its key. It
// returns false for a value that matters and can't be read.
type ChangeFunc func(change Item) (readable bool)

// Copy is a copy of the store's content. It is safe for concurrent use. Its ChangeFunc is called by one
// goroutine at a time, in the order of the changes, while others may read the copy.
type Copy struct {
	// OnSkipped is called when values of a key may have come and gone without a call of the ChangeFunc,
	// before the copy reaches a revision after them; the key is empty if any may have. It must be set
	// before the first change; nil if this doesn't matter.
	OnSkipped func(key string)

	onChange ChangeFunc
	// startupOnly are the keys, or prefixes of keys that end with a slash, that only a starting process
	// needs. Their changes are not passed on to copies that hold the rest, and no patches of them are
	// kept.
	startupOnly []string

	// updating is held by the goroutine that applies changes and calls onChange.
	updating sync.Mutex
	// mu guards the fields below, and is not held while onChange runs.
	mu sync.Mutex
	// changed are the changes for which onChange is still to be called.
	changed []Item
	// skipped are the keys for which OnSkipped is still to be called.
	skipped []string
	// records includes removed keys, so that an older change can't restore them.
	records  map[string]*record
	revision int64
	// passedOn is the revision of the last change that is passed on to copies that hold the rest.
	passedOn int64
	// floor is the revision up to which removals may be unknown here.
	floor int64
	// readable is false from the time that a value could not be read until the next whole reading.
	readable bool
	// needsWhole reports whether a page could not be unpacked: the next pull asks for the whole
	// content.
	needsWhole bool
}

// record holds the state of one key.
type record struct {
	Item
	// patches lead from older values to this one: each starts at the revision where the one before
	// ends, and the last one ends at the item's revision.
	patches []patch
	// packed is the compressed value; nil until it is first needed.
	packed []byte
}

const (
	// maxRemoved limits the removed keys that are remembered.
	maxRemoved = 4096
	// maxPatches limits the patches that are kept of one key.
	maxPatches = 24
	// largeValue is the size from which a value is passed on as a patch, in bytes.
	largeValue = 2048
)

// New returns an empty copy that calls onChange with each new change. The keys of startupOnly, and those
// below its prefixes, which end with a slash, are passed on only to copies that lack everything else too.
func New(onChange ChangeFunc, startupOnly ...string) *Copy {
	return &Copy{onChange: onChange, records: make(map[string]*record), startupOnly: startupOnly, readable: true}
}

// isStartupOnly reports whether only a starting process needs a key.
func (c *Copy) isStartupOnly(key string) bool {
	return slices.ContainsFunc(c.startupOnly, func(name string) bool {
		return key == name || strings.HasSuffix(name, "/") && strings.HasPrefix(key, name)
	})
}

// Revision returns the store revision that the copy has reached.
func (c *Copy) Revision() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.revision
}

// PassedOn returns the revision that a copy which holds the rest has to reach to hold all that is passed on
// to it. It is at most Revision: later changes were only of keys that starting processes need.
func (c *Copy) PassedOn() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.passedOn
}

// Value returns the value of a key; nil if it is absent.
func (c *Copy) Value(key string) []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	if rec, ok := c.records[key]; ok && !rec.Gone {
		return rec.Value
	}
	return nil
}

// Last returns the last known change of a key; false if there is none.
func (c *Copy) Last(key string) (Item, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	rec, ok := c.records[key]
	if !ok {
		return Item{}, false
	}
	return rec.Item, true
}

// Change applies single changes up to a revision. It reports whether all values could be read
// since the last whole reading.
func (c *Copy) Change(changes []Item, revision int64) bool {
	readable, _ := c.update(revision, c.lastPassedOn(changes), func() error {
		for _, change := range changes {
			if !c.passedRemoval(change) {
				c.applyChange(change, nil)
			}
		}
		return nil
	})
	return readable
}

// lastPassedOn returns the revision of the last of some changes that is passed on to copies that hold the
// rest; zero if none is.
func (c *Copy) lastPassedOn(changes []Item) int64 {
	last := int64(0)
	for _, change := range changes {
		if !c.isStartupOnly(change.Key) {
			last = max(last, change.Revision)
		}
	}
	return last
}

// Replace applies a whole reading made at a revision: keys that it lacks are removed.
func (c *Copy) Replace(items []Item, revision int64) bool {
	readable, _ := c.update(revision, revision, func() error {
		present := make(map[string]bool, len(items))
		c.readable = true
		c.noteWhole(items, revision)
		for _, item := range items {
			present[item.Key] = true
			if revision >= c.revision || !c.passedRemoval(item) {
				c.applyChange(item, nil)
			}
		}
		c.dropMissing(present, revision)
		return nil
	})
	return readable
}

// noteWhole records what a whole reading made at a revision leaves out, unless it shows each change since the
// copy's own revision: removals up to its revision may be unknown, and values of any key may have come and
// gone. The caller must hold c.mu.
func (c *Copy) noteWhole(items []Item, revision int64) {
	if c.showsAllSince(items, revision) {
		return
	}
	c.floor = max(c.floor, revision)
	if c.revision > 0 {
		c.skipped = append(c.skipped, "")
	}
}

// noteUnseen records that values of a key have come and gone before its removal at a revision. The caller
// must hold c.mu.
func (c *Copy) noteUnseen(key string, revision int64) {
	if revision > c.revision {
		c.skipped = append(c.skipped, key)
	}
}

// passedRemoval reports whether a change comes from an answer that was made before its key was removed: the
// copy has reached a later revision and doesn't hold the key. The caller must hold c.mu.
func (c *Copy) passedRemoval(change Item) bool {
	rec := c.records[change.Key]
	return (rec == nil || rec.Gone) && change.Revision <= c.revision && !c.isStartupOnly(change.Key)
}

// showsAllSince reports whether a whole reading made at a revision shows each change since the copy's own
// one: each change raises the store's revision by one. The caller must hold c.mu.
func (c *Copy) showsAllSince(items []Item, revision int64) bool {
	if revision <= c.revision {
		return true
	}
	shown := make(map[int64]bool)
	for _, item := range items {
		if item.Revision > revision {
			return false // it may have replaced a value that was never read
		}
		if item.Revision > c.revision {
			shown[item.Revision] = true
		}
	}
	return int64(len(shown)) == revision-c.revision
}

// update applies changes up to a revision, calls onChange with those that were new, and only then
// records that the revision, and the one of the last change that is passed on, are reached. onChange is
// called without c.mu: it may wait for goroutines that read the copy. An error of apply leaves the
// revisions as they are.
func (c *Copy) update(revision, passedOn int64, apply func() error) (readable bool, err error) {
	c.updating.Lock()
	defer c.updating.Unlock()
	c.mu.Lock()
	err = apply()
	changed, skipped := c.changed, c.skipped
	c.changed, c.skipped = nil, nil
	c.mu.Unlock()
	for _, key := range skipped {
		if c.OnSkipped != nil {
			c.OnSkipped(key)
		}
	}
	readable = true
	for _, change := range changed {
		if !c.onChange(change) {
			readable = false
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readable = c.readable && readable
	if err != nil {
		return c.readable, err
	}
	c.passedOn = max(c.passedOn, passedOn)
	return c.advanceTo(revision), nil
}

// dropMissing removes the keys that a whole reading made at a revision lacks. The caller must hold c.mu.
func (c *Copy) dropMissing(present map[string]bool, revision int64) {
	for _, key := range slices.Sorted(maps.Keys(c.records)) {
		rec := c.records[key]
		if !rec.Gone && !present[key] && rec.Revision <= revision {
			c.applyChange(Item{Key: key, Revision: revision, Gone: true}, nil)
		}
	}
}

// advanceTo records that all changes up to a revision are known. The caller must hold c.mu.
func (c *Copy) advanceTo(revision int64) bool {
	c.revision = max(c.revision, revision)
	c.trimRemoved()
	return c.readable
}

// applyChange applies one change, unless a newer one of its key is known. The patches that brought
// it are kept; if there are none, one is created. The caller must hold c.mu.
func (c *Copy) applyChange(change Item, patches []patch) {
	rec, ok := c.records[change.Key]
	if ok && change.Revision <= rec.Revision {
		return
	}
	if !ok && change.Gone {
		// Other copies may hold a key that this copy never knew, so pages for them have to be
		// whole.
		c.floor = max(c.floor, change.Revision)
		c.noteUnseen(change.Key, change.Revision)
		return
	}
	if ok && rec.Gone && change.Gone {
		c.noteUnseen(change.Key, change.Revision)
	}
	updated := &record{Item: change}
	c.records[change.Key] = updated
	c.changed = append(c.changed, change)
	if ok && !c.isStartupOnly(change.Key) {
		updated.patches = rec.patchesTo(change, patches)
	}
}

// patchesTo returns the patches that lead to a change of the known value.
func (r *record) patchesTo(change Item, received []patch) []patch {
	if r.Gone || change.Gone || len(r.Value) < largeValue || len(change.Value) < largeValue {
		return nil
	}
	if len(received) == 0 {
		created, err := makePatch(r.Item, change)
		if err != nil {
			return nil
		}
		received = []patch{created}
	}
	patches := slices.Concat(r.patches, received)
	return patches[max(0, len(patches)-maxPatches):]
}

// trimRemoved drops the removed keys when there are too many. The caller must hold c.mu.
func (c *Copy) trimRemoved() {
	removed := 0
	for _, rec := range c.records {
		if rec.Gone {
			removed++
		}
	}
	if removed <= maxRemoved {
		return
	}
	maps.DeleteFunc(c.records, func(_ string, rec *record) bool { return rec.Gone })
	c.floor = c.revision
}
