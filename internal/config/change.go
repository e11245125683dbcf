package config

import (
	"encoding/json"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/capersaddle/capersaddle/internal/fault"
)

// Need is what a change asks of the document before it.
type Need string

// The needs; the zero value asks nothing.
const (
	NeedAbsent  Need = "absent"
	NeedPresent Need = "present"
)

// Change sets one document; an empty value removes it.
type Change struct {
	Name  string          `json:"name"`
	Value json.RawMessage `json:"value,omitempty"`
	// Need refuses the command unless the document is absent or present.
	Need Need `json:"need,omitempty"`
	// Merge keeps the fields that Value does not name.
	Merge bool `json:"merge,omitempty"`
}

// change applies changes to a bucket's documents.
func change(documents []Document, changes []Change, revision uint64) ([]Document, error) {
	changed := slices.Clone(documents)
	for _, one := range changes {
		at := slices.IndexFunc(changed, func(d Document) bool { return d.Name == one.Name })
		if refusal := one.meets(at >= 0); refusal != nil {
			return nil, refusal
		}
		value := one.Value
		if at >= 0 {
			var err error
			if value, err = one.over(changed[at].Value); err != nil {
				return nil, err
			}
			changed = slices.Delete(changed, at, at+1)
		}
		if len(value) > 0 {
			changed = append(changed, Document{Name: one.Name, Value: value, Revision: revision})
		}
	}
	return changed, nil
}

// meets checks a change's need.
func (c *Change) meets(present bool) *fault.Error {
	switch {
	case c.Need == NeedAbsent && present:
		return fault.New(fault.Conflict, fault.NotRun, "%s exists already; use change", c.Name)
	case c.Need == NeedPresent && !present:
		return fault.New(fault.Conflict, fault.NotRun, "%s does not exist", c.Name)
	}
	return nil
}

// over gives the value of a document after the change.
func (c *Change) over(before json.RawMessage) (json.RawMessage, error) {
	if !c.Merge {
		return c.Value, nil
	}
	fields := make(map[string]json.RawMessage)
	if err := json.Unmarshal(before, &fields); err != nil {
		return nil, errors.Wrapf(err, "document %q", c.Name)
	}
	if err := json.Unmarshal(c.Value, &fields); err != nil {
		return nil, errors.Wrapf(err, "document %q", c.Name)
	}
	merged, err := json.Marshal(fields)
	if err != nil {
		return nil, errors.Wrapf(err, "document %q", c.Name)
	}
	if err := CheckDocument(c.Name, merged); err != nil {
		return nil, fault.New(fault.BadRequest, fault.NotRun, "%v", err)
	}
	return merged, nil
}
