package replica

import (
	"maps"
	"slices"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/capersaddle/capersaddle/internal/wire"
)

// Pull is a question for what this copy lacks.
func (c *Copy) Pull() *wire.ReplicaPull {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.doubtful {
		return &wire.ReplicaPull{Packs: true, PacksPages: true}
	}
	pull := &wire.ReplicaPull{Since: c.revision, Packs: true, PacksPages: true}
	for _, key := range slices.Sorted(maps.Keys(c.records)) {
		known := c.records[key]
		if len(known.Value) >= largeValue {
			pull.Held = append(pull.Held, &wire.HeldValue{Key: key, Revision: known.Revision})
		}
	}
	return pull
}

// Page answers a pull: what has changed since its revision, and all there is
// where removals since then may be unknown here, without the values that the
// asking copy holds. A large page is packed.
func (c *Copy) Page(pull *wire.ReplicaPull) *wire.ReplicaPage {
	page := c.page(pull)
	if pull.GetPacksPages() && proto.Size(page) >= largePage {
		packItems(page)
	}
	return page
}

// largePage is the size from which a page is packed, in bytes: a smaller one goes in
// two packets or fewer anyway.
const largePage = 2048

// packItems compresses the items of a page. Entries of targets are alike but for a few
// figures: 3,000 of them take a tenth of the bytes, so that a gateway on a link of 10
// Mbit/s can pass a whole copy on in 0.1 s, not 0.6 s.
func packItems(page *wire.ReplicaPage) {
	data, err := proto.Marshal(&wire.ReplicaPage{Items: page.GetItems()})
	if err != nil {
		return // it is sent as it is
	}
	packed, err := compress(data, nil)
	if err != nil {
		return
	}
	page.Items, page.PackedItems = nil, packed
}

// itemsOf are the items of a page, packed or not.
func itemsOf(page *wire.ReplicaPage) ([]*wire.ReplicaItem, error) {
	if len(page.GetPackedItems()) == 0 {
		return page.GetItems(), nil
	}
	data, err := expand(page.GetPackedItems(), nil)
	if err != nil {
		return nil, err
	}
	inner := new(wire.ReplicaPage)
	if err := proto.Unmarshal(data, inner); err != nil {
		return nil, errors.Wrap(err, "decode the items of a page")
	}
	return inner.GetItems(), nil
}

// page is a page that is not packed.
func (c *Copy) page(pull *wire.ReplicaPull) *wire.ReplicaPage {
	held := make(map[string]int64, len(pull.GetHeld()))
	for _, value := range pull.GetHeld() {
		held[value.GetKey()] = value.GetRevision()
	}
	since := pull.GetSince()
	c.mu.Lock()
	defer c.mu.Unlock()
	page := &wire.ReplicaPage{Revision: c.revision, Whole: since < c.floor || since == 0}
	for _, key := range slices.Sorted(maps.Keys(c.records)) {
		known := c.records[key]
		if known.Revision <= since && !page.Whole || known.Gone && page.Whole {
			continue
		}
		if c.advice[key] && !page.Whole {
			continue
		}
		item := &wire.ReplicaItem{Key: key, Revision: known.Revision, Gone: known.Gone}
		switch {
		case !pull.GetPacks():
			item.Value = known.Value
		case known.Revision <= since && !c.advice[key]:
			item.Kept = true
		default:
			known.pack(item, held[key])
		}
		page.Items = append(page.Items, item)
	}
	return page
}

// pack puts the value into an item in the shortest way for who holds the value
// of a revision; zero for none.
func (r *record) pack(item *wire.ReplicaItem, held int64) {
	if len(r.Value) < largeValue {
		item.Value = r.Value
		return
	}
	if held >= r.Revision {
		item.Kept = true
		return
	}
	if held > 0 {
		at := slices.IndexFunc(r.patches, func(p patch) bool { return p.from == held })
		if at >= 0 {
			for _, p := range r.patches[at:] {
				item.Patches = append(item.Patches, &wire.ReplicaPatch{From: p.from, To: p.to, Data: p.data})
			}
			return
		}
	}
	if r.packed == nil {
		packed, err := compress(r.Value, nil)
		if err != nil {
			item.Value = r.Value
			return
		}
		r.packed = packed
	}
	item.Packed = r.packed
}

// arrived is one item of a page, unpacked.
type arrived struct {
	Item
	by []patch
}

// Absorb takes another process's page. One that can't be unpacked changes
// nothing.
func (c *Copy) Absorb(page *wire.ReplicaPage) error {
	sent, err := itemsOf(page)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		c.doubtful = true
		return err
	}
	items := make([]arrived, 0, len(sent))
	for _, packed := range sent {
		item, err := c.unpack(packed)
		c.doubtful = err != nil
		if err != nil {
			return errors.Wrapf(err, "key %q at revision %d", packed.GetKey(), packed.GetRevision())
		}
		items = append(items, item)
	}
	if page.GetWhole() {
		c.readable = true
	}
	present := make(map[string]bool, len(items))
	for _, item := range items {
		present[item.Key] = true
		c.take(item.Item, item.by)
	}
	if page.GetWhole() {
		c.dropMissing(present, page.GetRevision())
	}
	c.reach(page.GetRevision())
	return nil
}

// unpack reads one item of a page; c.mu is held.
func (c *Copy) unpack(packed *wire.ReplicaItem) (arrived, error) {
	item := arrived{Item: Item{Key: packed.GetKey(), Value: packed.GetValue(), Revision: packed.GetRevision(), Gone: packed.GetGone()}}
	known := c.records[item.Key]
	if known != nil && known.Revision >= item.Revision {
		return item, nil // it will be passed over
	}
	var err error
	switch {
	case packed.GetKept():
		err = errNotHeld
	case len(packed.GetPatches()) > 0:
		item.Value, item.by, err = known.apply(packed.GetPatches(), item.Revision)
	case len(packed.GetPacked()) > 0:
		item.Value, err = expand(packed.GetPacked(), nil)
	}
	return item, err
}

var errNotHeld = errors.New("the page leaves out a value that is not held here")

var errOtherBase = errors.New("the change is of another value than the one held")

// apply makes the value of a revision out of the record's own, which may be
// newer than the one that the patches begin with.
func (r *record) apply(patches []*wire.ReplicaPatch, revision int64) ([]byte, []patch, error) {
	if r == nil {
		return nil, nil, errOtherBase
	}
	value, at := r.Value, r.Revision
	var by []patch
	for _, next := range patches {
		if next.GetTo() <= at {
			continue
		}
		if next.GetFrom() != at {
			return nil, nil, errOtherBase
		}
		changed, err := expand(next.GetData(), value)
		if err != nil {
			return nil, nil, err
		}
		value, at = changed, next.GetTo()
		by = append(by, patch{from: next.GetFrom(), to: at, data: next.GetData()})
	}
	if at != revision {
		return nil, nil, errOtherBase
	}
	return value, by, nil
}
