package config

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"github.com/capersaddle/capersaddle/internal/wire"
)

// ErrGap means that a delta starts after the revision held.
var ErrGap = errors.New("delta starts after the revision held")

// maxRemovals limits the removed documents that are remembered; above it, all but the newest half
// are forgotten. A peer that lags by fewer removals than are remembered can be updated by a delta.
const maxRemovals = 1024

// State is the configuration that a process applies.
type State struct {
	view atomic.Pointer[View]

	mu        sync.Mutex
	documents map[string]Document
	// removals holds the revisions at which documents were removed, by name.
	removals map[string]uint64
	// Peers whose revision is below fullDeltaBelow need all documents.
	fullDeltaBelow uint64
	changed        chan struct{}
}

// NewState returns an empty configuration at revision zero.
func NewState() *State {
	s := &State{
		documents: make(map[string]Document),
		removals:  make(map[string]uint64),
		changed:   make(chan struct{}),
	}
	s.view.Store(emptyView())
	return s
}

// View returns the current configuration.
func (s *State) View() *View {
	return s.view.Load()
}

// Revision returns the current revision.
func (s *State) Revision() uint64 {
	return s.View().Revision
}

// Changed returns a channel that is closed when a later revision is applied.
func (s *State) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// Apply applies a delta and reports whether the revision increased. A delta to a revision that is
// not above the current one changes nothing.
func (s *State) Apply(delta *wire.Delta) (bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.view.Load().Revision
	if delta.GetTo() <= current {
		return false, nil
	}
	if !delta.GetWhole() && delta.GetFrom() > current {
		return false, ErrGap
	}
	if delta.GetWhole() {
		s.removeAbsent(delta)
		if delta.GetTo() > current+1 {
			// A document that was added and removed since the current revision was never known here,
			// and a peer may hold it.
			s.fullDeltaBelow = max(s.fullDeltaBelow, delta.GetTo())
		}
	}
	for _, document := range delta.GetDocuments() {
		s.put(document)
	}
	s.trimRemovals()
	s.view.Store(buildView(delta.GetTo(), s.documents))
	close(s.changed)
	s.changed = make(chan struct{})
	return true, nil
}

// removeAbsent removes the documents that a whole delta does not contain.
func (s *State) removeAbsent(delta *wire.Delta) {
	present := make(map[string]bool, len(delta.GetDocuments()))
	for _, document := range delta.GetDocuments() {
		present[document.GetName()] = true
	}
	for name := range s.documents {
		if !present[name] {
			delete(s.documents, name)
			s.removals[name] = delta.GetTo()
		}
	}
}

func (s *State) put(document *wire.Document) {
	name := document.GetName()
	if len(document.GetValue()) == 0 {
		delete(s.documents, name)
		s.removals[name] = document.GetRevision()
		return
	}
	delete(s.removals, name)
	s.documents[name] = Document{Name: name, Value: document.GetValue(), Revision: document.GetRevision()}
}

// trimRemovals forgets all but the newest maxRemovals/2 removals if there are more than maxRemovals.
func (s *State) trimRemovals() {
	if len(s.removals) <= maxRemovals {
		return
	}
	names := make([]string, 0, len(s.removals))
	for name := range s.removals {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int { return cmp.Compare(s.removals[a], s.removals[b]) })
	for _, name := range names[:len(names)-maxRemovals/2] {
		s.fullDeltaBelow = max(s.fullDeltaBelow, s.removals[name])
		delete(s.removals, name)
	}
}

// DeltaSince returns the delta for a peer that holds a revision.
func (s *State) DeltaSince(base uint64) *wire.Delta {
	s.mu.Lock()
	defer s.mu.Unlock()
	delta := &wire.Delta{From: base, To: s.view.Load().Revision}
	if base == 0 || base < s.fullDeltaBelow {
		delta.Whole = true
		base = 0
	}
	for name, document := range s.documents {
		if document.Revision > base {
			delta.Documents = append(delta.Documents, &wire.Document{Name: name, Value: document.Value, Revision: document.Revision})
		}
	}
	if !delta.GetWhole() {
		for name, revision := range s.removals {
			if revision > base {
				delta.Documents = append(delta.Documents, &wire.Document{Name: name, Revision: revision})
			}
		}
	}
	slices.SortFunc(delta.Documents, func(a, b *wire.Document) int { return cmp.Compare(a.GetName(), b.GetName()) })
	return delta
}

// Documents returns all documents, sorted by name.
func (s *State) Documents() []Document {
	s.mu.Lock()
	defer s.mu.Unlock()
	documents := make([]Document, 0, len(s.documents))
	for _, document := range s.documents {
		documents = append(documents, document)
	}
	slices.SortFunc(documents, func(a, b Document) int { return cmp.Compare(a.Name, b.Name) })
	return documents
}
