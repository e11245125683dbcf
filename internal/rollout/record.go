package rollout

import (
	"encoding/json"
	"slices"
	"time"
	"unicode/utf8"

	"github.com/cockroachdb/errors"
)

// State is the progress of an order's rollout as operators see it.
type State string

// The states. The last two are final for their order.
const (
	Running    State = "running"
	Completed  State = "completed"
	RolledBack State = "rolled_back"
)

// Record is what the store keeps about the rollouts of a service. Of two records the one with
// the later revision in the store counts. Only a later order can undo anything in it.
type Record struct {
	// Order is the last one that was taken up.
	Order Order
	State State
	// Elapsed is how long the order had been known when the record was written.
	Elapsed time.Duration
	// Current is the version of the last completed rollout; empty before the first.
	Current string
	// Refused are the versions that get no requests until an order names them again: those rolled
	// back, and those that a completed rollout replaced. Sorted and unique; never contains
	// Current.
	Refused []string
	// Served are the versions that served when the first order was taken up, until a rollout
	// completes. An order for one of them needs no trial. Sorted and unique; disjoint from
	// Refused.
	Served []string
}

// isFinal reports whether the record ends its order.
func (r *Record) isFinal() bool {
	return r.State == Completed || r.State == RolledBack
}

// isProven reports whether a version needs no trial.
func (r *Record) isProven(version string) bool {
	return version == r.Current || slices.Contains(r.Served, version)
}

// storedRecord is the stored form of a record. Durations are in nanoseconds.
type storedRecord struct {
	Service  string        `json:"service"`
	Version  string        `json:"version"`
	Duration time.Duration `json:"duration_ns"`
	Revision int64         `json:"revision"`
	State    State         `json:"state"`
	Elapsed  time.Duration `json:"elapsed_ns"`
	Current  string        `json:"current,omitempty"`
	Refused  []string      `json:"refused,omitempty"`
	Served   []string      `json:"served,omitempty"`
}

// Encode encodes a record as JSON for the store. It returns an error for a record that Decode
// would reject.
func Encode(record Record) ([]byte, error) {
	if err := record.validate(); err != nil {
		return nil, err
	}
	data, err := json.Marshal(storedRecord{
		Service:  record.Order.Service,
		Version:  record.Order.Version,
		Duration: record.Order.Duration,
		Revision: record.Order.Revision,
		State:    record.State,
		Elapsed:  record.Elapsed,
		Current:  record.Current,
		Refused:  record.Refused,
		Served:   record.Served,
	})
	return data, errors.Wrap(err, "encode rollout record")
}

// Decode decodes a record from the store. Unknown fields are ignored, since a later release may
// have written them.
func Decode(data []byte) (Record, error) {
	var decoded storedRecord
	if err := json.Unmarshal(data, &decoded); err != nil {
		return Record{}, errors.Wrap(err, "decode rollout record")
	}
	record := Record{
		Order: Order{
			Service:  decoded.Service,
			Version:  decoded.Version,
			Duration: decoded.Duration,
			Revision: decoded.Revision,
		},
		State:   decoded.State,
		Elapsed: decoded.Elapsed,
		Current: decoded.Current,
		Refused: decoded.Refused,
		Served:  decoded.Served,
	}
	if err := record.validate(); err != nil {
		return Record{}, err
	}
	return record, nil
}

// validate returns an error if the record is inconsistent.
func (r *Record) validate() error {
	order := r.Order
	switch {
	case order.Service == "" || order.Version == "":
		return errors.New("rollout record without a service or version")
	case order.Duration <= 0 || order.Revision <= 0 || r.Elapsed < 0:
		return errors.Newf("rollout record of %q has an invalid duration (%s), revision (%d) or elapsed time (%s)", order.Service, order.Duration, order.Revision, r.Elapsed)
	case r.State != Running && r.State != Completed && r.State != RolledBack:
		return errors.Newf("rollout record of %q has unknown state %q", order.Service, r.State)
	case r.State == Completed && r.Current != order.Version:
		return errors.Newf("rollout record of %q has completed %q, but its current version is %q", order.Service, order.Version, r.Current)
	case r.State == RolledBack && !r.isProven(order.Version) && !slices.Contains(r.Refused, order.Version):
		return errors.Newf("rollout record of %q has rolled back %q, but doesn't refuse it", order.Service, order.Version)
	}
	for i, version := range r.Refused {
		if version == "" || version == r.Current || i > 0 && version <= r.Refused[i-1] {
			return errors.Newf("rollout record of %q refuses %q, which is empty, current, out of order or a duplicate", order.Service, version)
		}
	}
	for i, version := range r.Served {
		if version == "" || slices.Contains(r.Refused, version) || i > 0 && version <= r.Served[i-1] {
			return errors.Newf("rollout record of %q lists %q as having served, which is empty, refused, out of order or a duplicate", order.Service, version)
		}
	}
	for _, name := range slices.Concat([]string{order.Service, order.Version, r.Current}, r.Refused, r.Served) {
		if !utf8.ValidString(name) {
			return errors.Newf("rollout record of %q has a name that is not UTF-8", order.Service)
		}
	}
	return nil
}

// sortedVersions returns the sorted, unique versions without the excluded ones.
func sortedVersions(versions []string, excluded ...string) []string {
	kept := make([]string, 0, len(versions))
	for _, version := range versions {
		if version != "" && !slices.Contains(excluded, version) {
			kept = append(kept, version)
		}
	}
	slices.Sort(kept)
	return slices.Compact(kept)
}
