package config

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"strings"
)

// View is one revision of the configuration in typed form for lookups. It is immutable.
type View struct {
	Revision   uint64
	Workspaces map[string]Workspace
	Models     map[string]Model
	Services   map[string]Service
	Routes     map[string]Route
	Marks      map[string]Mark
	Placements map[string]Placement
	// byKeyHash holds the names of workspaces by the hashes of their API keys.
	byKeyHash map[string]string
}

// emptyView returns the view before any configuration is known.
func emptyView() *View {
	return &View{
		Workspaces: make(map[string]Workspace),
		Models:     make(map[string]Model),
		Services:   make(map[string]Service),
		Routes:     make(map[string]Route),
		Marks:      make(map[string]Mark),
		Placements: make(map[string]Placement),
		byKeyHash:  make(map[string]string),
	}
}

// buildView decodes all documents. One that can't be decoded is skipped: it was checked when it
// was accepted, so it comes from a newer release.
func buildView(revision uint64, documents map[string]Document) *View {
	view := emptyView()
	view.Revision = revision
	for fullName, document := range documents {
		kind, name, err := SplitName(fullName)
		if err != nil || len(document.Value) == 0 {
			continue
		}
		view.add(kind, name, document.Value)
	}
	return view
}

func (v *View) add(kind, name string, value json.RawMessage) {
	switch kind {
	case KindWorkspace:
		if workspace, ok := decodeInto(v.Workspaces, name, value); ok {
			for _, hash := range workspace.KeyHashes {
				v.byKeyHash[hash] = name
			}
		}
	case KindModel:
		decodeInto(v.Models, name, value)
	case KindService:
		decodeInto(v.Services, name, value)
	case KindRoute:
		decodeInto(v.Routes, name, value)
	case KindMark:
		decodeInto(v.Marks, name, value)
	case KindPlacement:
		decodeInto(v.Placements, name, value)
	}
}

func decodeInto[T any](into map[string]T, name string, value json.RawMessage) (T, bool) {
	var typed T
	if json.Unmarshal(value, &typed) != nil {
		return typed, false
	}
	into[name] = typed
	return typed, true
}

// HashKey returns the hash by which an API key is stored.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// WorkspaceByKey returns the workspace of an API key. The lookup is by hash, so its duration
// reveals nothing about existing keys.
func (v *View) WorkspaceByKey(key string) (string, Workspace, bool) {
	name, ok := v.byKeyHash[HashKey(key)]
	if !ok {
		return "", Workspace{}, false
	}
	return name, v.Workspaces[name], true
}

// ModelFor resolves a route, if there is one, and reports whether the model exists.
func (v *View) ModelFor(name string) (string, bool) {
	if route, ok := v.Routes[name]; ok {
		name = route.Model
	}
	_, ok := v.Models[name]
	return name, ok
}

// defaultSlots is the size of a slot table if the service sets none.
const defaultSlots = 64

// SlotCount returns the size of the service's slot table.
func (s Service) SlotCount() int {
	if s.Slots > 0 {
		return s.Slots
	}
	return defaultSlots
}

// NeedsKey reports whether calls to a path of the service may not be repeated and so need an
// idempotency key.
func (s Service) NeedsKey(path string) bool {
	for _, prefix := range s.NotRepeatable {
		if strings.HasPrefix(path, prefix) {
			return true
		}
	}
	return false
}

// Leaving reports whether a target is marked for a planned stop.
func (v *View) Leaving(target string) bool {
	return v.Marks[target].Leaving
}
