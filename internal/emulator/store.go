package emulator

import (
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// Item is one key of the store, as the protocol shows it.
type Item struct {
	Key      string `json:"private_key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Made     int64  `json:"made,omitempty"`
	Lease    int64  `json:"lease,omitempty"`
	Gone     bool   `json:"gone,omitempty"`
}

// StoreFaults are the ways in which the store misbehaves.
type StoreFaults struct {
	// Down answers every call with 503.
	Down bool
	// Silent answers no call until the fault ends or the caller leaves.
	Silent bool
	// LoseAnswers does writes and breaks the connection instead of answering.
	LoseAnswers bool
	// LoseWrites breaks the connection of writes and does nothing.
	LoseWrites bool
	// LateWrites breaks the connection of writes and keeps them until ApplyLateWrites.
	LateWrites bool
	// Delay is waited before every answer.
	Delay time.Duration
	// Garbage answers with bytes that are no JSON.
	Garbage bool
}

// Store is the stand-in of the platform's metadata store.
type Store struct {
	mu       sync.Mutex
	items    map[string]Item
	history  []Item
	revision int64
	// compacted is the revision up to which the history is gone.
	compacted int64
	leases    map[int64]time.Time
	lastLease int64
	changed   chan struct{}
	faults    StoreFaults
	// turnedAway are callers' addresses, IP:port or IP, that get 503.
	turnedAway map[string]bool
	pageItems  int
	// waiting counts the calls that are not answered yet.
	waiting int
	// hanging is how many further calls are never answered.
	hanging int
	calls   map[string]int
	silence silence
	// late are the writes that ApplyLateWrites does.
	late []*transactionBody
	// observer is called for each change; nil for none.
	observer func(changed Item)
}

const (
	// rangePage is how many items one page of a range holds.
	rangePage = 500
	// mostWait bounds a watch.
	mostWait = 30 * time.Second
	// mostEntries bounds a transaction.
	mostEntries = 32
)

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{
		items:      make(map[string]Item),
		leases:     make(map[int64]time.Time),
		changed:    make(chan struct{}),
		turnedAway: make(map[string]bool),
		pageItems:  rangePage,
		calls:      make(map[string]int),
	}
}

// SetPage changes how many items one page of a range holds.
func (s *Store) SetPage(items int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pageItems = items
}

// SetFaults changes how the store misbehaves; calls that wait look again.
func (s *Store) SetFaults(faults StoreFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
	s.wake()
}

// HangCalls leaves the next so many calls without an answer, as those do that
// were made while the store was silent.
func (s *Store) HangCalls(count int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hanging = count
}

// SilenceConnections has the connections that were used so far say nothing more.
func (s *Store) SilenceConnections() {
	s.silence.fall()
}

// Waiting counts the calls that faults keep waiting.
func (s *Store) Waiting() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.waiting
}

// TurnAway has the calls of an IP address refused, or served again.
func (s *Store) TurnAway(ip string, away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.turnedAway[ip] = away
	s.wake()
}

// Calls counts the calls so far by path.
func (s *Store) Calls() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.calls)
}

// Put writes a key as the operator or a server does, and returns the
// revision that acknowledges it.
func (s *Store) Put(key string, value []byte) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.putLocked(key, value, 0)
	return s.revision
}

// Remove removes a key, as the operator or a server does.
func (s *Store) Remove(key string) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeLocked(key)
	return s.revision
}

// Get returns a key's item.
func (s *Store) Get(key string) (Item, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	found, ok := s.items[key]
	return found, ok
}

// ApplyLateWrites does the writes that were kept, each if its condition still holds, and returns
// how many were done.
func (s *Store) ApplyLateWrites() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	done := 0
	for _, body := range s.late {
		if status, _ := s.transact(body); status == http.StatusOK {
			done++
		}
	}
	s.late = nil
	return done
}

// Observe has each further change told, in order. The observer is called with the store
// locked: it must not call the store, nor wait.
func (s *Store) Observe(observer func(changed Item)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.observer = observer
}

// Compact forgets the history, so that older watches get 410.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history = nil
	s.compacted = s.revision
	s.wake()
}

func (s *Store) putLocked(key string, value []byte, lease int64) {
	s.revision++
	made := s.revision
	if known, ok := s.items[key]; ok {
		made = known.Made
	}
	changed := Item{Key: key, Value: slices.Clone(value), Revision: s.revision, Made: made, Lease: lease}
	s.items[key] = changed
	s.note(changed)
}

func (s *Store) removeLocked(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.note(Item{Key: key, Revision: s.revision, Gone: true})
}

// note tells all of a change; the lock is held.
func (s *Store) note(changed Item) {
	s.history = append(s.history, changed)
	if s.observer != nil {
		s.observer(changed)
	}
	s.wake()
}

// wake has all that wait look again; the lock is held.
func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP serves the store's calls.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.silence.swallows(r) {
		return
	}
	if !s.enter(w, r) {
		return
	}
	switch {
	case r.URL.Path == "/capersaddle/kv-key":
		s.serveKey(w, r)
	case r.URL.Path == "/capersaddle/kv-range":
		s.serveRange(w, r)
	case r.URL.Path == "/capersaddle/kv-watch":
		s.serveWatch(w, r)
	case r.URL.Path == "/capersaddle/kv-txn":
		s.serveTransaction(w, r)
	case r.URL.Path == "/capersaddle/kv-lease":
		s.serveLease(w, r)
	case strings.HasPrefix(r.URL.Path, "/capersaddle/kv-keep/"):
		s.serveKeep(w, r)
	default:
		http.NotFound(w, r)
	}
}

// enter counts a call and lets the faults have their way; false means that
// the call is over.
func (s *Store) enter(w http.ResponseWriter, r *http.Request) bool {
	s.mu.Lock()
	s.calls[r.URL.Path]++
	s.waiting++
	s.expireLeases(time.Now())
	hangs := s.hanging > 0
	if hangs {
		s.hanging--
	}
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.waiting--
	}()
	if hangs {
		<-r.Context().Done()
		return false
	}
	for {
		s.mu.Lock()
		faults, changed := s.faults, s.changed
		away := s.turnedAway[hostOf(r.RemoteAddr)]
		s.mu.Unlock()
		switch {
		case faults.Silent:
			select {
			case <-changed:
				continue
			case <-r.Context().Done():
				return false
			}
		case faults.Down || away:
			w.WriteHeader(http.StatusServiceUnavailable)
			return false
		case faults.Garbage:
			_, _ = io.WriteString(w, "<html>not JSON")
			return false
		}
		return pause(r, faults.Delay)
	}
}

// pause waits; false if the caller has left.
func pause(r *http.Request, wait time.Duration) bool {
	if wait <= 0 {
		return true
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		return false
	}
}

func hostOf(address string) string {
	at := strings.LastIndexByte(address, ':')
	if at < 0 {
		return address
	}
	return address[:at]
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
