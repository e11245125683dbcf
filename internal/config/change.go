package config

import (
	"encoding/json"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/capersaddle/capersaddle/internal/fault"
)

// Need is a precondition of a change on the existing document.
type Need string

// The preconditions; the zero value is none.
const (
	NeedAbsent  Need = "absent"
	NeedPresent Need = "present"
)

// Change sets one document, or removes it if the value is empty.
type Change struct {
	Name  string          `json:"name"`
	Value json.RawMessage `json:"value,omitempty"`
	// Need makes the command fail unless the document is absent or present.
	Need Need `json:"need,omitempty"`
	// Merge keeps the fields that Value does not set.
	Merge bool `json:"merge,omitempty"`
}

// applyChanges applies changes to a bucket's documents.
func applyChanges(documents []Document, changes []Change, revision uint64) ([]Document, error) {
	changed := slices.Clone(documents)
	for _, change := range changes {
		index := slices.IndexFunc(changed, func(d Document) bool { return d.Name == change.Name })
		if refusal := change.checkNeed(index >= 0); refusal != nil {
			return nil, refusal
		}
		value := change.Value
		if index >= 0 {
			var err error
			if value, err = change.newValue(changed[index].Value); err != nil {
				return nil, err
			}
			changed = slices.Delete(changed, index, index+1)
		}
		if len(value) > 0 {
			changed = append(changed, Document{Name: change.Name, Value: value, Revision: revision})
		}
	}
	return changed, nil
}

// checkNeed checks the change's precondition.
func (c *Change) checkNeed(present bool) *fault.Error {
	switch {
	case c.Need == NeedAbsent && present:
		return fault.New(fault.Conflict, fault.NotRun, "%s already exists; use change", c.Name)
	case c.Need == NeedPresent && !present:
		return fault.New(fault.Conflict, fault.NotRun, "%s does not exist", c.Name)
	}
	return nil
}

// newValue returns the document's value after the change.
func (c *Change) newValue(previous json.RawMessage) (json.RawMessage, error) {
	if !c.Merge {
		return c.Value, nil
	}
	fields := make(map[string]json.RawMessage)
	if err := json.Unmarshal(previous, &fields); err != nil {
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
