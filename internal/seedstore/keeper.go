// Package seedstore keeps the addresses of a few running gateways in the platform's store. The seeds in a
// gateway's settings may all be stale. Gateways that use the same store find each other through these
// addresses: each contacts those that it doesn't hear, and the first gateway of a group that hears none of
// them adds its own.
//
// Source: docs/design/finding-gateways.md.
package seedstore

import (
	"context"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/capersaddle/capersaddle/internal/clock"
	"github.com/capersaddle/capersaddle/internal/periodic"
)

const (
	// checkEvery is the time between two checks of the list.
	checkEvery = 100 * time.Millisecond
	// contactTime is how long the listed gateways have to answer before this one counts them as unreachable.
	contactTime = 500 * time.Millisecond
	// maxStagger is the longest additional delay before a gateway writes. Of many gateways that start
	// together and know no others, the first to write is found by the rest, which then have no reason to.
	maxStagger = time.Second
	// replenishDelay is the delay before the list is written only because few of its gateways are left.
	replenishDelay = 5 * time.Second
	// minRetryDelay is the delay after a failed write. It doubles with each one, up to maxRetryDelay.
	minRetryDelay = 500 * time.Millisecond
	maxRetryDelay = 2 * time.Second
	// saveTimeout limits one call to the store.
	saveTimeout = 800 * time.Millisecond
	// minHeard is the number of listed gateways that should be running, unless fewer are known: one may be
	// lost at the moment at which a new gateway reads the list.
	minHeard = 2
	// maxOwn is the number of addresses that a gateway lists of itself and those that it hears, and
	// maxListed the length of the list. The rest are gateways that others listed, which may be running
	// but unreachable from here.
	maxOwn    = 4
	maxListed = 8
)

// List is a list of addresses as the store holds it.
type List struct {
	// Addresses are addresses for peers, as IP:port, those that were listed last first.
	Addresses []string
	// Revision is the revision of the list in the store; zero if there is none.
	Revision int64
}

// ErrOutdated means that the store holds another list than the expected one. Nothing was written.
var ErrOutdated = errors.New("the store holds another list of seeds")

// Store stores the list.
type Store interface {
	// SaveSeeds replaces the list of a revision and returns the new one. If the store holds another list
	// than that, it returns ErrOutdated and the list that it holds.
	SaveSeeds(ctx context.Context, addresses []string, revision int64) (List, error)
}

// Options configure a Keeper.
type Options struct {
	// Address is this process's own address for peers.
	Address string
	// Order is this process's position among all gateways, from 0 to 1. Those with a lower one write first.
	Order float64
	Store Store
	// IsWriter reports whether this process may write: it knows the store's content and is the first of
	// the gateways that it hears.
	IsWriter func() bool
	// Heard returns the addresses of the other gateways that are running, the first of them in the order
	// that all gateways share first.
	Heard func() []string
	// OnList is called with the addresses of each new list.
	OnList func(addresses []string)
	// OnSave is called with the result of each call to the store.
	OnSave func(addresses []string, err error)
}

// Keeper keeps the list up to date.
type Keeper struct {
	*periodic.Task
	options Options

	mu   sync.Mutex
	list List
	// seenAt is the latest revision of the store at which the list was seen.
	seenAt int64

	// lackingSince is the time from which the list lacks running gateways while this process may write;
	// zero if it doesn't. lackingIn is the revision of that list. Only the keeper's goroutine uses these
	// fields, nextTry, the time before which it makes no call, and retryDelay, the delay after the next
	// failed one.
	lackingSince time.Time
	lackingIn    int64
	nextTry      time.Time
	retryDelay   time.Duration
}

// New returns a keeper; Start starts it.
func New(options Options) *Keeper {
	k := &Keeper{options: options}
	k.Task = periodic.New(checkEvery, k.check)
	return k
}

// Set records the list that the store held at a revision of the store.
func (k *Keeper) Set(list List, seenAt int64) {
	if k.replace(list, seenAt) {
		k.options.OnList(list.Addresses)
	}
}

// replace replaces the list, unless a later one is known, and reports whether the addresses are new.
func (k *Keeper) replace(list List, seenAt int64) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if seenAt < k.seenAt {
		return false
	}
	isNew := !slices.Equal(list.Addresses, k.list.Addresses)
	k.list, k.seenAt = list, seenAt
	return isNew
}

// current returns the list.
func (k *Keeper) current() List {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.list
}

// check writes the list if it has lacked running gateways for long enough.
func (k *Keeper) check(ctx context.Context) {
	now := clock.Now()
	list, heard := k.current(), k.options.Heard()
	running := k.running(list, heard)
	if running >= min(minHeard, 1+len(heard)) || !k.options.IsWriter() {
		k.lackingSince = time.Time{}
		return
	}
	if k.lackingSince.IsZero() || k.lackingIn != list.Revision {
		k.lackingSince, k.lackingIn = now, list.Revision
	}
	if now.Sub(k.lackingSince) < k.delay(running) || now.Before(k.nextTry) {
		return
	}
	k.save(ctx, k.extend(list, heard), list.Revision, now)
}

// running returns the number of listed gateways that are known to be running, this one included.
func (k *Keeper) running(list List, heard []string) int {
	count := 0
	for _, address := range list.Addresses {
		if address == k.options.Address || slices.Contains(heard, address) {
			count++
		}
	}
	return count
}

// delay returns how long the list must lack running gateways before it is written, given the number of
// those in it. The fourth root makes few of many gateways write early, however many there are.
func (k *Keeper) delay(running int) time.Duration {
	stagger := time.Duration(math.Sqrt(math.Sqrt(k.options.Order)) * float64(maxStagger))
	if running > 0 {
		return replenishDelay + stagger
	}
	return contactTime + stagger
}

// extend returns a list that begins with running gateways and keeps others of the old one.
func (k *Keeper) extend(list List, heard []string) []string {
	addresses := []string{k.options.Address}
	addresses = append(addresses, heard[:min(len(heard), maxOwn-1)]...)
	for _, address := range list.Addresses {
		if len(addresses) < maxListed && !slices.Contains(addresses, address) && !slices.Contains(heard, address) {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// save writes a list on condition that the store holds the one of a revision. After an error it is unknown
// whether it was written; the next try finds out.
func (k *Keeper) save(ctx context.Context, addresses []string, revision int64, now time.Time) {
	callCtx, cancel := context.WithTimeout(ctx, saveTimeout)
	defer cancel()
	held, err := k.options.Store.SaveSeeds(callCtx, addresses, revision)
	if ctx.Err() != nil {
		return
	}
	k.options.OnSave(addresses, err)
	k.scheduleRetry(err, now)
	if err == nil || errors.Is(err, ErrOutdated) {
		k.Set(held, max(held.Revision, revision))
	}
}

// scheduleRetry delays the next call if the last one failed.
func (k *Keeper) scheduleRetry(err error, now time.Time) {
	if err == nil {
		k.retryDelay = 0
		return
	}
	k.retryDelay = min(max(2*k.retryDelay, minRetryDelay), maxRetryDelay)
	k.nextTry = now.Add(k.retryDelay)
}
