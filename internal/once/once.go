// Package once decides whether a request that may not be repeated runs. It
// does no I/O: clocks are handed in, and the agent carries its messages.
//
// The key space of a plain service is cut into slots. A slot has one owner at
// a time, written in the store's slot table together with a witness: another
// agent, which promises the owner for a few seconds at a time not to take the
// slot over. Owner and witness keep going without the store; only a change of
// the table needs it. A new owner without the old one's records refuses every
// key whose time is not surely after the old owner's last, so that each key
// has exactly one epoch in which it can ever run. docs/design/once.md gives
// the argument.
package once

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
)

// Options are the times on which the argument rests.
type Options struct {
	// Service is the plain service's name.
	Service string
	// Agent and Incarnation name this process; an incarnation is never used
	// twice.
	Agent       string
	Incarnation string
	// Ahead is how far a key's time may be ahead of the owner's wall clock.
	MaxAhead time.Duration
	// Back is how old a key may be when it is first seen.
	MaxKeyAge time.Duration
	// Keep is how long an outcome can be asked for; never below Back.
	Keep time.Duration
	// ClockError bounds each host's wall clock against true time.
	ClockError time.Duration
	// Promise is the length of a witness's promise.
	Promise time.Duration
	// LongLease is the time after which slots whose owner and witness are
	// both gone may be taken by anyone.
	LongLease time.Duration
	// MaxRecords bounds the records kept; new keys are refused beyond it.
	MaxRecords int
	// MaxBody bounds the body kept with an outcome, in bytes.
	MaxBody int
}

// DefaultOptions are the times used unless settings say otherwise.
func DefaultOptions() Options {
	return Options{
		MaxAhead:   2 * time.Second,
		MaxKeyAge:  15 * time.Minute,
		Keep:       time.Hour,
		ClockError: time.Second,
		Promise:    3 * time.Second,
		LongLease:  12 * time.Hour,
		MaxRecords: 200_000,
		MaxBody:    16 << 10,
	}
}

// driftDivisor is the bound on the rate error of clocks: one in a thousand.
const driftDivisor = 1000

// longer and shorter widen a duration by the bound on the clocks' rates.
func longer(d time.Duration) time.Duration {
	return d + d/driftDivisor
}

func shorter(d time.Duration) time.Duration {
	return d - d/driftDivisor
}

// Fence is the span after an epoch's start in which keys are in doubt.
func (o *Options) Fence() time.Duration {
	return o.MaxAhead + 2*o.ClockError
}

// Clock reads the host's clocks.
type Clock interface {
	// Wall is the time of day, within ClockError of true time.
	Wall() time.Time
	// Boot is a clock that never steps and that counts pauses of the host.
	Boot() time.Duration
}

// ParseKey reads a key's time; only time-ordered keys (UUIDv7) carry one.
func ParseKey(key string) (time.Time, error) {
	id, err := uuid.Parse(key)
	if err != nil {
		return time.Time{}, errors.Newf("key %q is not a UUID", key)
	}
	if id.Version() != 7 {
		return time.Time{}, errors.Newf("key %q is a UUID of version %d; a UUIDv7 is needed, its time guards against a second run", key, id.Version())
	}
	millis := int64(0)
	for _, b := range id[:6] {
		millis = millis<<8 | int64(b)
	}
	return time.UnixMilli(millis), nil
}

// FullKey joins workspace and key: two workspaces' equal keys are different.
func FullKey(workspace, key string) string {
	return workspace + "/" + key
}

// SlotOf gives the slot of a key.
func SlotOf(fullKey string, slots int) int {
	return int(xxhash.Sum64String(fullKey) % uint64(slots))
}
