package config

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"github.com/capersaddle/capersaddle/internal/wire"
)

// ErrGap says that a delta starts after the revision held.
var ErrGap = errors.New("delta starts after the revision held")

// keptRemovals is how many removed documents are remembered, so that a peer
// that lags by fewer can be brought up by a delta.
const keptRemovals = 1024

// State is the configuration that one process has in force.
type State struct {
	view atomic.Pointer[View]

	mu        sync.Mutex
	documents map[string]Document
	// removed holds removed documents by name, with their revision.
	removed map[string]uint64
	// wholeBelow: a peer that holds a lower revision needs all documents.
	wholeBelow uint64
	changed    chan struct{}
}

// NewState returns an empty configuration at revision zero.
func NewState() *State {
	s := &State{
		documents: make(map[string]Document),
		removed:   make(map[string]uint64),
		changed:   make(chan struct{}),
	}
	s.view.Store(emptyView())
	return s
}

// View is the configuration in force.
func (s *State) View() *View {
	return s.view.Load()
}

// Revision is the revision in force.
func (s *State) Revision() uint64 {
	return s.View().Revision
}

// Changed is closed when a later revision comes into force.
func (s *State) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// Apply brings a delta into force; it reports whether the revision rose. A
// delta to a revision not above the one held changes nothing.
func (s *State) Apply(delta *wire.Delta) (bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	have := s.view.Load().Revision
	if delta.GetTo() <= have {
		return false, nil
	}
	if !delta.GetWhole() && delta.GetFrom() > have {
		return false, ErrGap
	}
	if delta.GetWhole() {
		s.removeAbsent(delta)
	}
	for _, document := range delta.GetDocuments() {
		s.put(document)
	}
	s.trimRemoved()
	s.view.Store(buildView(delta.GetTo(), s.documents))
	close(s.changed)
	s.changed = make(chan struct{})
	return true, nil
}

// removeAbsent drops what a whole delta does not name.
func (s *State) removeAbsent(delta *wire.Delta) {
	named := make(map[string]bool, len(delta.GetDocuments()))
	for _, document := range delta.GetDocuments() {
		named[document.GetName()] = true
	}
	for name := range s.documents {
		if !named[name] {
			delete(s.documents, name)
			s.removed[name] = delta.GetTo()
		}
	}
}

func (s *State) put(document *wire.Document) {
	name := document.GetName()
	if len(document.GetValue()) == 0 {
		delete(s.documents, name)
		s.removed[name] = document.GetRevision()
		return
	}
	delete(s.removed, name)
	s.documents[name] = Document{Name: name, Value: document.GetValue(), Revision: document.GetRevision()}
}

// trimRemoved forgets the oldest removals over the bound.
func (s *State) trimRemoved() {
	if len(s.removed) <= keptRemovals {
		return
	}
	names := make([]string, 0, len(s.removed))
	for name := range s.removed {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int { return cmp.Compare(s.removed[a], s.removed[b]) })
	for _, name := range names[:len(names)-keptRemovals/2] {
		s.wholeBelow = max(s.wholeBelow, s.removed[name])
		delete(s.removed, name)
	}
}

// Since is the delta for a peer that holds a revision.
func (s *State) DeltaSince(have uint64) *wire.Delta {
	s.mu.Lock()
	defer s.mu.Unlock()
	delta := &wire.Delta{From: have, To: s.view.Load().Revision}
	if have == 0 || have < s.wholeBelow {
		delta.Whole = true
		have = 0
	}
	for name, document := range s.documents {
		if document.Revision > have {
			delta.Documents = append(delta.Documents, &wire.Document{Name: name, Value: document.Value, Revision: document.Revision})
		}
	}
	if !delta.GetWhole() {
		for name, revision := range s.removed {
			if revision > have {
				delta.Documents = append(delta.Documents, &wire.Document{Name: name, Revision: revision})
			}
		}
	}
	slices.SortFunc(delta.Documents, func(a, b *wire.Document) int { return cmp.Compare(a.GetName(), b.GetName()) })
	return delta
}

// Documents lists all documents in order of name.
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
