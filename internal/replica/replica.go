// Package replica keeps a process's copy of what the platform's store holds,
// by the revision of each key, and passes it on to other processes. Whatever
// way a change comes by, from the store or from another process, the newest
// revision of a key stays.
//
// Large values are passed on as what has changed of them: a configuration of
// a thousand routes would fill a small host's link when it is sent to each of
// thirty gateways. Source: docs/design/platform.md, "Configuration and
// servers".
package replica

import (
	"maps"
	"slices"
	"sync"
)

// Item is one key of the store, or a change of it.
type Item struct {
	Key string
	// Value is not changed by anybody who holds the item.
	Value    []byte
	Revision int64
	// Gone says that the key was removed; Value is nil then.
	Gone bool
}

// Take is told of each change that is newer than what was known of its key. It
// returns false for a value that can't be read although it matters.
type ChangeFunc func(change Item) (readable bool)

// Copy is safe for concurrent use. Take is called while it is held.
type Copy struct {
	tell ChangeFunc
	// advice are the keys that only a process which begins needs. Their changes
	// are not passed on to copies that hold the rest, and no patches of them are
	// kept.
	advice map[string]bool

	mu sync.Mutex
	// records holds removed keys too, so that an older word can't bring them
	// back.
	records  map[string]*record
	revision int64
	// floor is the revision up to which removals may be unknown here.
	floor int64
	// readable is false once a value could not be read, until a whole reading.
	readable bool
	// doubtful says that a page could not be unpacked: the next pull asks for
	// everything, whole.
	doubtful bool
}

// record is what is known of one key.
type record struct {
	Item
	// patches lead from older values to this one: each begins where the one
	// before ends, and the last one ends at the item's revision.
	patches []patch
	// packed is the compressed value; nil until it was needed.
	packed []byte
}

const (
	// mostRemoved bounds how many removed keys are remembered.
	mostRemoved = 4096
	// mostPatches bounds how many changes of one key are kept.
	mostPatches = 24
	// largeValue is the size from which a value is passed on as its change, in
	// bytes.
	largeValue = 2048
)

// New returns an empty copy that tells take what is new. The keys of advice are
// passed on only to copies that lack everything else too.
func New(take ChangeFunc, advice ...string) *Copy {
	c := &Copy{tell: take, records: make(map[string]*record), advice: make(map[string]bool), readable: true}
	for _, key := range advice {
		c.advice[key] = true
	}
	return c
}

// Revision is the store's revision that the copy has reached.
func (c *Copy) Revision() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.revision
}

// Value is what a key holds; nil if it is absent.
func (c *Copy) Value(key string) []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	if known, ok := c.records[key]; ok && !known.Gone {
		return known.Value
	}
	return nil
}

// Change takes single changes up to a revision; it returns whether all values
// could be read since the last whole reading.
func (c *Copy) Change(changes []Item, at int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, change := range changes {
		c.take(change, nil)
	}
	return c.reach(at)
}

// Replace takes a whole reading made at a revision: what it lacks is gone.
func (c *Copy) Replace(items []Item, at int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	present := make(map[string]bool, len(items))
	c.readable = true
	for _, found := range items {
		present[found.Key] = true
		c.take(found, nil)
	}
	c.dropMissing(present, at)
	return c.reach(at)
}

// dropMissing removes the keys that a whole reading made at a revision lacks.
// What was added and removed again before it was never known here. c.mu is
// held.
func (c *Copy) dropMissing(present map[string]bool, at int64) {
	c.floor = max(c.floor, at)
	for _, key := range slices.Sorted(maps.Keys(c.records)) {
		known := c.records[key]
		if !known.Gone && !present[key] && known.Revision <= at {
			c.take(Item{Key: key, Revision: at, Gone: true}, nil)
		}
	}
}

// reach notes that all changes up to a revision are known; c.mu is held.
func (c *Copy) reach(at int64) bool {
	c.revision = max(c.revision, at)
	c.trim()
	return c.readable
}

// take hands one change on, unless a newer one of its key is known. The
// patches that it came by are kept; without any, one is made. c.mu is held.
func (c *Copy) take(change Item, by []patch) {
	known, ok := c.records[change.Key]
	if ok && change.Revision <= known.Revision {
		return
	}
	if !ok && change.Gone {
		// Others may hold a key that this copy never knew: a page that leaves it out has to
		// be whole for them.
		c.floor = max(c.floor, change.Revision)
		return
	}
	taken := &record{Item: change}
	c.records[change.Key] = taken
	if !c.tell(change) {
		c.readable = false
	}
	if ok && !c.advice[change.Key] {
		taken.patches = known.follow(change, by)
	}
}

// follow are the patches that lead to a change of the known value.
func (r *record) follow(change Item, by []patch) []patch {
	if r.Gone || change.Gone || len(r.Value) < largeValue || len(change.Value) < largeValue {
		return nil
	}
	if len(by) == 0 {
		made, err := makePatch(r.Item, change)
		if err != nil {
			return nil
		}
		by = []patch{made}
	}
	patches := slices.Concat(r.patches, by)
	return patches[max(0, len(patches)-mostPatches):]
}

// trim forgets removed keys when there are too many; c.mu is held.
func (c *Copy) trim() {
	removed := 0
	for _, known := range c.records {
		if known.Gone {
			removed++
		}
	}
	if removed <= mostRemoved {
		return
	}
	maps.DeleteFunc(c.records, func(_ string, known *record) bool { return known.Gone })
	c.floor = c.revision
}
