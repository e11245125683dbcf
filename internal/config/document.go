// Package config holds the operators' configuration: documents under one
// rising revision, the commands that change them in the store, and their
// spread from process to process. A process never applies a lower revision.
package config

import (
	"encoding/json"
	"strings"

	"github.com/cockroachdb/errors"
)

// Kinds of documents; a document's name is kind/name.
const (
	KindWorkspace = "workspace"
	KindModel     = "model"
	KindService   = "service"
	KindRoute     = "route"
	KindMark      = "mark"
	KindPlacement = "placement"
)

// Document is one entry of the configuration.
type Document struct {
	// Name is kind/name.
	Name string `json:"name"`
	// Value is the entry's JSON; empty for one that was removed.
	Value json.RawMessage `json:"value,omitempty"`
	// Revision is the one that last changed the entry.
	Revision uint64 `json:"revision"`
}

// Workspace is a customer.
type Workspace struct {
	// KeyHashes are hex SHA-256 hashes of its API keys.
	KeyHashes []string `json:"key_hashes"`
	// Share is its weight in fair sharing; at least 1.
	Share int `json:"share,omitempty"`
	// Deferrable makes its requests come after urgent ones.
	Deferrable bool `json:"deferrable,omitempty"`
	// MaxInFlight bounds its requests at one router; zero for no bound.
	MaxInFlight int `json:"most_in_flight,omitempty"`
}

// Model is a model that may be asked for; its pool has the same name.
type Model struct {
	// OwnedBy is shown in the list of models.
	OwnedBy string `json:"owned_by,omitempty"`
}

// Service is a plain service.
type Service struct {
	// NotRepeatable are path prefixes whose calls need an idempotency key.
	NotRepeatable []string `json:"not_repeatable,omitempty"`
	// Slots is the size of its slot table; fixed once the table exists.
	Slots int `json:"slots,omitempty"`
	// MaxBody bounds a request's body, in bytes; zero for the default.
	MaxBody int64 `json:"most_body,omitempty"`
}

// Route lets one model name stand for another.
type Route struct {
	Model string `json:"model"`
}

// Mark marks a target for a planned stop.
type Mark struct {
	Leaving bool `json:"leaving"`
}

// Placement says how many managed engines should hold the model of its name.
type Placement struct {
	Replicas int `json:"replicas"`
}

// SplitName cuts a document's name into kind and name.
func SplitName(full string) (kind, name string, err error) {
	kind, name, ok := strings.Cut(full, "/")
	if !ok || kind == "" || name == "" {
		return "", "", errors.Newf("document name %q is not kind/name", full)
	}
	return kind, name, nil
}

// CheckDocument reads a document as its kind; an unknown kind or field and a
// value that makes no sense are errors that name the cure.
func CheckDocument(full string, value json.RawMessage) error {
	kind, _, err := SplitName(full)
	if err != nil {
		return err
	}
	switch kind {
	case KindWorkspace:
		return checkWorkspace(full, value)
	case KindModel:
		return strict(full, value, new(Model))
	case KindService:
		return checkService(full, value)
	case KindRoute:
		return strict(full, value, new(Route))
	case KindMark:
		return strict(full, value, new(Mark))
	case KindPlacement:
		return checkPlacement(full, value)
	}
	return errors.Newf("document %q: unknown kind %q; known are workspace, model, service, route, mark, placement", full, kind)
}

func strict(full string, value json.RawMessage, into any) error {
	decoder := json.NewDecoder(strings.NewReader(string(value)))
	decoder.DisallowUnknownFields()
	return errors.Wrapf(decoder.Decode(into), "document %q", full)
}

// hashLength is the length of a hex SHA-256 hash.
const hashLength = 64

func checkWorkspace(full string, value json.RawMessage) error {
	var workspace Workspace
	if err := strict(full, value, &workspace); err != nil {
		return err
	}
	for _, hash := range workspace.KeyHashes {
		if len(hash) != hashLength {
			return errors.Newf("document %q: key hash %q is not a hex SHA-256 of %d characters", full, hash, hashLength)
		}
	}
	if workspace.Share < 0 || workspace.MaxInFlight < 0 {
		return errors.Newf("document %q: share and most_in_flight must not be negative", full)
	}
	return nil
}

// mostSlots keeps a slot table well under a megabyte.
const mostSlots = 4096

func checkService(full string, value json.RawMessage) error {
	var service Service
	if err := strict(full, value, &service); err != nil {
		return err
	}
	if service.Slots < 0 || service.Slots > mostSlots {
		return errors.Newf("document %q: slots is %d; want 0 to %d", full, service.Slots, mostSlots)
	}
	return nil
}

func checkPlacement(full string, value json.RawMessage) error {
	var placement Placement
	if err := strict(full, value, &placement); err != nil {
		return err
	}
	if placement.Replicas < 0 {
		return errors.Newf("document %q: replicas is %d; want 0 or more", full, placement.Replicas)
	}
	return nil
}
