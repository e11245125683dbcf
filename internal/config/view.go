package config

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"strings"
)

// View is one revision of the configuration, typed and ready for look-ups. It
// is never changed after it was built.
type View struct {
	Revision   uint64
	Workspaces map[string]Workspace
	Models     map[string]Model
	Services   map[string]Service
	Routes     map[string]Route
	Marks      map[string]Mark
	Placements map[string]Placement
	// byKeyHash finds a workspace's name by the hash of an API key.
	byKeyHash map[string]string
}

// emptyView is the view before any configuration is known.
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

// buildView reads all documents. One that cannot be read is left out: it was
// checked when it was accepted, so it comes from a newer release.
func buildView(revision uint64, documents map[string]Document) *View {
	view := emptyView()
	view.Revision = revision
	for full, document := range documents {
		kind, name, err := SplitName(full)
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
		if workspace, ok := read(v.Workspaces, name, value); ok {
			for _, hash := range workspace.KeyHashes {
				v.byKeyHash[hash] = name
			}
		}
	case KindModel:
		read(v.Models, name, value)
	case KindService:
		read(v.Services, name, value)
	case KindRoute:
		read(v.Routes, name, value)
	case KindMark:
		read(v.Marks, name, value)
	case KindPlacement:
		read(v.Placements, name, value)
	}
}

func read[T any](into map[string]T, name string, value json.RawMessage) (T, bool) {
	var typed T
	if json.Unmarshal(value, &typed) != nil {
		return typed, false
	}
	into[name] = typed
	return typed, true
}

// HashKey hashes an API key as it is kept.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// WorkspaceByKey finds the workspace of an API key. The look-up is by hash, so its time
// tells nothing about keys that exist.
func (v *View) WorkspaceByKey(key string) (string, Workspace, bool) {
	name, ok := v.byKeyHash[HashKey(key)]
	if !ok {
		return "", Workspace{}, false
	}
	return name, v.Workspaces[name], true
}

// ModelFor follows a route, if there is one, to a model that exists.
func (v *View) ModelFor(name string) (string, bool) {
	if route, ok := v.Routes[name]; ok {
		name = route.Model
	}
	_, ok := v.Models[name]
	return name, ok
}

// slotsDefault is the size of a slot table when the service names none.
const slotsDefault = 64

// SlotCount is the size of a service's slot table.
func (s Service) SlotCount() int {
	if s.Slots > 0 {
		return s.Slots
	}
	return slotsDefault
}

// NeedsKey says whether a call of a service may not be repeated.
func (s Service) NeedsKey(path string) bool {
	for _, prefix := range s.NotRepeatable {
		if strings.HasPrefix(path, prefix) {
			return true
		}
	}
	return false
}

// Leaving says whether a target is marked for a planned stop.
func (v *View) Leaving(target string) bool {
	return v.Marks[target].Leaving
}
