// Package once decides whether a request that may not be repeated runs. It does no I/O: callers
// pass in the clock, and the agent carries its messages.
//
// The key space of a plain service is divided into slots. A slot has one owner at a time, recorded
// in the slot table in the store together with a witness. The witness is another agent that grants
// the owner short leases, called promises: for a few seconds at a time it promises not to take the
// slot over. Owner and witness work without the store; only a change of the table needs it. A new
// owner that did not get the old owner's records refuses every key that may be older than the end
// of the old owner's time, so that each key can run in exactly one epoch. docs/design/once.md
// gives the proof.
package once

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
)

// Options are the time limits and sizes of a service's guards. Running at most once depends on the
// times.
type Options struct {
	// Service is the plain service's name.
	Service string
	// Agent and Incarnation identify this process. An incarnation is never reused.
	Agent       string
	Incarnation string
	// MaxAhead is how far a key's time may be ahead of the owner's wall clock.
	MaxAhead time.Duration
	// MaxKeyAge is how old a key may be when it is first seen.
	MaxKeyAge time.Duration
	// Keep is how long an outcome can be retrieved; never less than MaxKeyAge.
	Keep time.Duration
	// ClockError is the maximum error of a host's wall clock against true time.
	ClockError time.Duration
	// Promise is the duration of a witness's promise.
	Promise time.Duration
	// LongLease is the time after which any agent may take slots whose owner and witness are both
	// gone.
	LongLease time.Duration
	// MaxRecords limits the records kept; beyond it new keys are refused.
	MaxRecords int
	// MaxBody limits the body kept with an outcome, in bytes.
	MaxBody int
}

// DefaultOptions returns the values used unless settings override them.
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

// driftDivisor limits the rate error of clocks to one in a thousand.
const driftDivisor = 1000

// plusDrift and minusDrift extend and shorten a duration by the clocks' maximum rate error.
func plusDrift(d time.Duration) time.Duration {
	return d + d/driftDivisor
}

func minusDrift(d time.Duration) time.Duration {
	return d - d/driftDivisor
}

// Fence returns the span after an epoch's start in which keys are in doubt.
func (o *Options) Fence() time.Duration {
	return o.MaxAhead + 2*o.ClockError
}

// Clock reads the host's clocks.
type Clock interface {
	// Wall returns the time of day, within ClockError of true time.
	Wall() time.Time
	// Boot returns the reading of a clock that is never set and that keeps running while the host
	// is suspended.
	Boot() time.Duration
}

// ParseKey returns a key's time; only time-ordered keys (UUIDv7) carry one.
func ParseKey(key string) (time.Time, error) {
	id, err := uuid.Parse(key)
	if err != nil {
		return time.Time{}, errors.Newf("key %q is not a UUID", key)
	}
	if id.Version() != 7 {
		return time.Time{}, errors.Newf("key %q is a version %d UUID; want a UUIDv7, whose time guards against a second run", key, id.Version())
	}
	millis := int64(0)
	for _, b := range id[:6] {
		millis = millis<<8 | int64(b)
	}
	return time.UnixMilli(millis), nil
}

// FullKey joins workspace and key, so that equal keys of two workspaces differ.
func FullKey(workspace, key string) string {
	return workspace + "/" + key
}

// SlotOf returns the slot of a key.
func SlotOf(fullKey string, slots int) int {
	return int(xxhash.Sum64String(fullKey) % uint64(slots))
}
