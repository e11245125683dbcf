package rollout

import (
	"encoding/json"
	"slices"
	"time"
	"unicode/utf8"

	"github.com/cockroachdb/errors"
)

// State is how far the roll-out of an order has come, as the operators see it.
type State string

// The states. The last two are final for their order.
const (
	Running    State = "running"
	Completed  State = "completed"
	RolledBack State = "rolled_back"
)

// Record is what the store keeps of the roll-outs of a service. Of two records the one
// with the later revision in the store counts; nothing of it is ever taken back but by
// a later order.
type Record struct {
	// Order is the last one that was taken up.
	Order Order
	State State
	// Elapsed is how long the order had been known when the record was written.
	Elapsed time.Duration
	// Current is the version of the last completed roll-out; empty before the first.
	Current string
	// Refused are the versions that get nothing until an order names them again: those
	// rolled back, and those that a completed roll-out left. In order, each once; never
	// Current.
	Refused []string
	// Served are the versions that served when the first order was taken up, until a
	// roll-out completes: an order for one of them has nothing to prove. In order, each
	// once; never in Refused.
	Served []string
}

// final says whether the record ends its order.
func (r *Record) isFinal() bool {
	return r.State == Completed || r.State == RolledBack
}

// serves says whether a version has nothing to prove.
func (r *Record) isProven(version string) bool {
	return version == r.Current || slices.Contains(r.Served, version)
}

// stored is a record in the store. Durations are in nanoseconds.
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

// Encode writes a record for the store, as JSON. It fails for one that Decode would
// not take.
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
	return data, errors.Wrap(err, "encode a roll-out's record")
}

// Decode reads a record from the store. Fields that it doesn't know are passed over:
// a later release may have written them.
func Decode(data []byte) (Record, error) {
	var decoded storedRecord
	if err := json.Unmarshal(data, &decoded); err != nil {
		return Record{}, errors.Wrap(err, "decode a roll-out's record")
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

// check says what is wrong with a record.
func (r *Record) validate() error {
	order := r.Order
	switch {
	case order.Service == "" || order.Version == "":
		return errors.New("a roll-out's record names no service or no version")
	case order.Duration <= 0 || order.Revision <= 0 || r.Elapsed < 0:
		return errors.Newf("the record of %q has duration %s, revision %d, elapsed %s", order.Service, order.Duration, order.Revision, r.Elapsed)
	case r.State != Running && r.State != Completed && r.State != RolledBack:
		return errors.Newf("the record of %q has the unknown state %q", order.Service, r.State)
	case r.State == Completed && r.Current != order.Version:
		return errors.Newf("the record of %q has completed %q, but its current version is %q", order.Service, order.Version, r.Current)
	case r.State == RolledBack && !r.isProven(order.Version) && !slices.Contains(r.Refused, order.Version):
		return errors.Newf("the record of %q has rolled %q back, but doesn't refuse it", order.Service, order.Version)
	}
	for i, version := range r.Refused {
		if version == "" || version == r.Current || i > 0 && version <= r.Refused[i-1] {
			return errors.Newf("the record of %q refuses %q, which is empty, current, out of order or twice there", order.Service, version)
		}
	}
	for i, version := range r.Served {
		if version == "" || slices.Contains(r.Refused, version) || i > 0 && version <= r.Served[i-1] {
			return errors.Newf("the record of %q has %q among those that served, which is empty, refused, out of order or twice there", order.Service, version)
		}
	}
	for _, name := range slices.Concat([]string{order.Service, order.Version, r.Current}, r.Refused, r.Served) {
		if !utf8.ValidString(name) {
			return errors.Newf("the record of %q has a name that is not UTF-8", order.Service)
		}
	}
	return nil
}

// sortedVersions is a list of versions in order, each once, without those left out.
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
