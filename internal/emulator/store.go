package emulator

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// Item is one key of the store, in the protocol's format.
type Item struct {
	Key      string `json:"private_key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Made     int64  `json:"made,omitempty"`
	Lease    int64  `json:"lease,omitempty"`
	Gone     bool   `json:"gone,omitempty"`

	// encoded is the item as JSON. Each change is encoded once: many processes read the same large ones.
	encoded []byte
}

// StoreFaults describe how the store misbehaves.
type StoreFaults struct {
	// Down makes every call fail with 503.
	Down bool
	// Silent leaves every call unanswered until the fault ends or the caller disconnects.
	Silent bool
	// LoseAnswers applies writes and then drops the connection instead of answering.
	LoseAnswers bool
	// LoseWrites drops the connection of writes without applying them.
	LoseWrites bool
	// LateWrites drops the connection of writes and keeps the writes until ApplyLateWrites.
	LateWrites bool
	// Late returns how much later than they arrive writes are done, by the first key that they put; zero for
	// at once. The connection of a late one is dropped. Nil means that none is late. It runs with the store
	// locked, so it must not call the store.
	Late func(key string) time.Duration
	// Delay is the delay before every response.
	Delay time.Duration
	// Garbage answers with bytes that are not JSON.
	Garbage bool
	// SlowChanges leaves watches that find changes unanswered until the caller disconnects, as if the
	// response were so large that it took too long.
	SlowChanges bool
	// Endless answers with bytes without end.
	Endless StoreEndless
}

// StoreEndless is what has no end in the store's responses; empty means nothing.
type StoreEndless string

// The parts of a response that may have no end.
const (
	StoreEndlessHead StoreEndless = "head"
	StoreEndlessBody StoreEndless = "body"
	// StoreTrickledBody sends a body some bytes at a time.
	StoreTrickledBody StoreEndless = "trickled_body"
)

// endlessStoreBytes is what the store sends in place of a response.
var endlessStoreBytes = map[StoreEndless]endlessBytes{
	StoreEndlessHead:  {start: "HTTP/1.1 200 OK\r\nX-Filler: ", repeated: "a"},
	StoreEndlessBody:  {start: "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n{\"events\":[", repeated: "[],"},
	StoreTrickledBody: {start: "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n{\"events\":[", repeated: "[],", trickles: true},
}

// Store emulates the platform's metadata store.
type Store struct {
	mu       sync.Mutex
	items    map[string]Item
	history  []Item
	revision int64
	// compacted is the revision up to which the history has been discarded.
	compacted int64
	leases    map[int64]time.Time
	lastLease int64
	changed   chan struct{}
	faults    StoreFaults
	// refusedCallers holds the caller addresses, IP:port or IP, whose calls get 503.
	refusedCallers map[string]bool
	// refusedPrefix is a prefix of keys that gateways may not write; empty for none.
	refusedPrefix string
	pageItems     int
	// waiting is the number of calls that are not answered yet.
	waiting int
	// callsToHang is how many further calls are never answered.
	callsToHang int
	calls       map[string]int
	silencer    connectionSilencer
	// lateWrites are the writes that ApplyLateWrites applies.
	lateWrites []*transactionBody
	// observer is called for each change; may be nil.
	observer func(changed Item)
}

const (
	// rangePage is the number of items on one page of a range response, and rangePageBytes the size of
	// their values, in bytes, after which a page ends.
	rangePage      = 500
	rangePageBytes = 1 << 20
	// maxWait limits how long a watch waits.
	maxWait = 30 * time.Second
	// maxEntries limits the number of entries in a transaction.
	maxEntries = 32
)

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{
		items:          make(map[string]Item),
		leases:         make(map[int64]time.Time),
		changed:        make(chan struct{}),
		refusedCallers: make(map[string]bool),
		pageItems:      rangePage,
		calls:          make(map[string]int),
	}
}

// SetPage sets the number of items on one page of a range response.
func (s *Store) SetPage(items int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pageItems = items
}

// SetFaults sets how the store misbehaves. Waiting calls check the faults again.
func (s *Store) SetFaults(faults StoreFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
	s.wake()
}

// HangCalls leaves the given number of further calls unanswered for good, like calls that were
// made while the store was silent.
func (s *Store) HangCalls(count int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.callsToHang = count
}

// SilenceConnections makes the store ignore all further calls on the connections used so far.
func (s *Store) SilenceConnections() {
	s.silencer.silenceKnown()
}

// Waiting returns the number of calls that faults keep waiting.
func (s *Store) Waiting() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.waiting
}

// TurnAway refuses the calls of an IP address, or serves them again.
func (s *Store) TurnAway(ip string, away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refusedCallers[ip] = away
	s.wake()
}

// RefuseWrites refuses gateways' writes of the keys with a prefix. Gateways that are to be separated from
// each other must not find each other through what they write there.
func (s *Store) RefuseWrites(prefix string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refusedPrefix = prefix
}

// Calls returns the number of calls so far by path.
func (s *Store) Calls() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.calls)
}

// Put writes a key as the operator or a server does, and returns the revision of the write.
func (s *Store) Put(key string, value []byte) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.putLocked(key, value, 0)
	return s.revision
}

// Remove removes a key as the operator or a server does, and returns the store's revision.
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
	item, ok := s.items[key]
	return item, ok
}

// ApplyLateWrites applies the writes that were kept, each if its condition still holds, and
// returns how many were applied.
func (s *Store) ApplyLateWrites() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	done := 0
	for _, body := range s.lateWrites {
		if status, _ := s.transact(body); status == http.StatusOK {
			done++
		}
	}
	s.lateWrites = nil
	return done
}

// Observe sets a function that is called for each further change, in order. It runs with the
// store locked, so it must not call the store or block.
func (s *Store) Observe(observer func(changed Item)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.observer = observer
}

// Compact discards the history, so that watches from older revisions get 410.
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
	changed.encoded, _ = json.Marshal(changed) // a plain struct can always be encoded
	s.items[key] = changed
	s.recordChange(changed)
}

func (s *Store) removeLocked(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	gone := Item{Key: key, Revision: s.revision, Gone: true}
	gone.encoded, _ = json.Marshal(gone)
	s.recordChange(gone)
}

// recordChange adds a change to the history and notifies the observer and all waiting calls.
// The lock is held.
func (s *Store) recordChange(changed Item) {
	s.history = append(s.history, changed)
	if s.observer != nil {
		s.observer(changed)
	}
	s.wake()
}

// wake makes all waiting calls check the state again. The lock is held.
func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP serves the store's calls.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.silencer.holdIfSilenced(r) {
		return
	}
	if !s.applyFaults(w, r) {
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

// applyFaults counts a call and applies the faults to it. It returns false if the call needs no
// further handling.
func (s *Store) applyFaults(w http.ResponseWriter, r *http.Request) bool {
	s.mu.Lock()
	s.calls[r.URL.Path]++
	s.waiting++
	s.expireLeases(time.Now())
	hangs := s.callsToHang > 0
	if hangs {
		s.callsToHang--
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
		refused := s.refusedCallers[hostOf(r.RemoteAddr)]
		s.mu.Unlock()
		switch {
		case faults.Silent:
			select {
			case <-changed:
				continue
			case <-r.Context().Done():
				return false
			}
		case faults.Down || refused:
			w.WriteHeader(http.StatusServiceUnavailable)
			return false
		case faults.Endless != "":
			writeEndless(w, endlessStoreBytes[faults.Endless])
			return false
		case faults.Garbage:
			_, _ = io.WriteString(w, "<html>not JSON")
			return false
		}
		return pause(r, faults.Delay)
	}
}

// pause waits, and returns false if the caller disconnects meanwhile.
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

// replyItems answers with items in a field, and with further fields.
func replyItems(w http.ResponseWriter, name string, items []Item, more bool, at int64) {
	w.Header().Set("Content-Type", "application/json")
	body := bufio.NewWriter(w)
	_, _ = fmt.Fprintf(body, `{"more":%t,"at":%d,"%s":[`, more, at, name) // an error shows at Flush
	for number, item := range items {
		if number > 0 {
			_ = body.WriteByte(',')
		}
		_, _ = body.Write(item.encoded)
	}
	_, _ = body.WriteString("]}\n")
	_ = body.Flush() // the caller may have gone
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
