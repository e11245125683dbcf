// Package config holds the operators' configuration: documents under one increasing revision, the
// commands that change them in the store, and their distribution between processes. A process
// never applies a lower revision.
package config

import (
	"encoding/json"
	"strings"

	"github.com/cockroachdb/errors"
)

// The kinds of documents; a document's name is kind/name.
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
	// Name has the form kind/name.
	Name string `json:"name"`
	// Value is the entry's JSON; empty for a removed entry.
	Value json.RawMessage `json:"value,omitempty"`
	// Revision is the revision that last changed the entry.
	Revision uint64 `json:"revision"`
}

// Workspace is a customer.
type Workspace struct {
	// KeyHashes are hex-encoded SHA-256 hashes of the workspace's API keys.
	KeyHashes []string `json:"key_hashes"`
	// Share is the workspace's weight in fair queueing; at least 1.
	Share int `json:"share,omitempty"`
	// Deferrable makes the workspace's requests wait behind urgent ones.
	Deferrable bool `json:"deferrable,omitempty"`
	// MaxInFlight limits the workspace's requests in flight at one router; zero means no limit.
	MaxInFlight int `json:"most_in_flight,omitempty"`
}

// Model is a model that can be requested; its pool has the same name.
type Model struct {
	// OwnedBy is shown in the model list.
	OwnedBy string `json:"owned_by,omitempty"`
}

// Service is a plain service.
type Service struct {
	// NotRepeatable lists path prefixes whose calls need an idempotency key.
	NotRepeatable []string `json:"not_repeatable,omitempty"`
	// Slots is the size of the service's slot table; it can't change once the table exists.
	Slots int `json:"slots,omitempty"`
	// MaxBody limits a request's body, in bytes; zero means the default.
	MaxBody int64 `json:"most_body,omitempty"`
}

// Route makes a model name an alias of another model.
type Route struct {
	Model string `json:"model"`
}

// Mark marks a target for a planned stop.
type Mark struct {
	Leaving bool `json:"leaving"`
}

// Placement is the number of managed engines that should hold the model of its name.
type Placement struct {
	Replicas int `json:"replicas"`
}

// SplitName splits a document's name into kind and name.
func SplitName(fullName string) (kind, name string, err error) {
	kind, name, ok := strings.Cut(fullName, "/")
	if !ok || kind == "" || name == "" {
		return "", "", errors.Newf("document name %q does not have the form kind/name", fullName)
	}
	return kind, name, nil
}

// CheckDocument validates a document by its kind. An unknown kind or field and an invalid value
// are errors, which say what is expected.
func CheckDocument(fullName string, value json.RawMessage) error {
	kind, _, err := SplitName(fullName)
	if err != nil {
		return err
	}
	switch kind {
	case KindWorkspace:
		return checkWorkspace(fullName, value)
	case KindModel:
		return decodeStrict(fullName, value, new(Model))
	case KindService:
		return checkService(fullName, value)
	case KindRoute:
		return decodeStrict(fullName, value, new(Route))
	case KindMark:
		return decodeStrict(fullName, value, new(Mark))
	case KindPlacement:
		return checkPlacement(fullName, value)
	}
	return errors.Newf("document %q: unknown kind %q; want workspace, model, service, route, mark or placement", fullName, kind)
}

func decodeStrict(fullName string, value json.RawMessage, into any) error {
	decoder := json.NewDecoder(strings.NewReader(string(value)))
	decoder.DisallowUnknownFields()
	return errors.Wrapf(decoder.Decode(into), "document %q", fullName)
}

// hashLength is the length of a hex-encoded SHA-256 hash.
const hashLength = 64

func checkWorkspace(fullName string, value json.RawMessage) error {
	var workspace Workspace
	if err := decodeStrict(fullName, value, &workspace); err != nil {
		return err
	}
	for _, hash := range workspace.KeyHashes {
		if len(hash) != hashLength {
			return errors.Newf("document %q: key hash %q is not a hex-encoded SHA-256 hash of %d characters", fullName, hash, hashLength)
		}
	}
	if workspace.Share < 0 || workspace.MaxInFlight < 0 {
		return errors.Newf("document %q: share and most_in_flight must not be negative", fullName)
	}
	return nil
}

// maxSlots keeps a slot table well below a megabyte.
const maxSlots = 4096

func checkService(fullName string, value json.RawMessage) error {
	var service Service
	if err := decodeStrict(fullName, value, &service); err != nil {
		return err
	}
	if service.Slots < 0 || service.Slots > maxSlots {
		return errors.Newf("document %q: slots is %d; want 0 to %d", fullName, service.Slots, maxSlots)
	}
	return nil
}

func checkPlacement(fullName string, value json.RawMessage) error {
	var placement Placement
	if err := decodeStrict(fullName, value, &placement); err != nil {
		return err
	}
	if placement.Replicas < 0 {
		return errors.Newf("document %q: replicas is %d; want 0 or more", fullName, placement.Replicas)
	}
	return nil
}
