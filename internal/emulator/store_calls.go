package emulator

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

func (s *Store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	item, ok := s.items[r.URL.Query().Get("private_key")]
	at := s.revision
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, http.StatusOK, struct {
		Item
		At int64 `json:"at"`
	}{item, at})
}

func (s *Store) serveRange(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	s.mu.Lock()
	var items []Item
	more, at, size := false, s.revision, 0
	for _, key := range slices.Sorted(maps.Keys(s.items)) {
		if !strings.HasPrefix(key, query.Get("path_prefix")) || key <= query.Get("since_revision") {
			continue
		}
		if len(items) == s.pageItems || size >= rangePageBytes {
			more = true
			break
		}
		items = append(items, s.items[key])
		size += len(s.items[key].Value)
	}
	s.mu.Unlock()
	replyItems(w, "items", items, more, at)
}

func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	since, _ := strconv.ParseInt(query.Get("since_revision"), 10, 64)
	millis, _ := strconv.ParseInt(query.Get("wait_ms"), 10, 64)
	timer := time.NewTimer(min(time.Duration(millis)*time.Millisecond, maxWait))
	defer timer.Stop()
	timedOut := false
	for {
		s.mu.Lock()
		events, compacted := s.changesSince(query.Get("path_prefix"), since)
		at, changed, faults := s.revision, s.changed, s.faults
		s.mu.Unlock()
		switch {
		case faults.Down || faults.Silent:
			// A store that goes down drops the connections of waiting watches.
			panic(http.ErrAbortHandler)
		case compacted:
			w.WriteHeader(http.StatusGone)
			return
		case faults.SlowChanges && len(events) > 0:
			<-r.Context().Done()
			return
		case len(events) > 0 || timedOut:
			replyItems(w, "events", events, false, at)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			timedOut = true
		case <-r.Context().Done():
			return
		}
	}
}

// changesSince returns the changes under a prefix after a revision. The second result reports
// that the history no longer reaches back that far.
func (s *Store) changesSince(prefix string, since int64) ([]Item, bool) {
	if since < s.compacted {
		return nil, true
	}
	events := []Item{}
	for _, change := range s.history {
		if change.Revision > since && strings.HasPrefix(change.Key, prefix) {
			events = append(events, change)
		}
	}
	return events, false
}

// conflict is the response to a transaction whose conditions don't hold: the keys as they are.
type conflict struct {
	Items []Item `json:"items"`
	At    int64  `json:"at"`
}

// transactionBody is the request body of a transaction.
type transactionBody struct {
	Expected []expected `json:"expected_revision"`
	Put      []put      `json:"put"`
	Remove   []string   `json:"remove"`
}

// expected is the revision that a key must have; zero means that the key must be absent.
type expected struct {
	Key      string `json:"private_key"`
	Revision int64  `json:"revision"`
}

// put is a key to write.
type put struct {
	Key   string `json:"private_key"`
	Value []byte `json:"value"`
	Lease int64  `json:"lease"`
}

func (s *Store) serveTransaction(w http.ResponseWriter, r *http.Request) {
	var body transactionBody
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if len(body.Expected)+len(body.Put)+len(body.Remove) > maxEntries {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	status, answer, lost := s.transactWithFaults(&body)
	if lost {
		panic(http.ErrAbortHandler)
	}
	reply(w, status, answer)
}

// transactWithFaults applies a transaction, unless a fault delays or drops it. The last result
// reports that the caller gets no response.
func (s *Store) transactWithFaults(body *transactionBody) (status int, answer any, lost bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.faults.LoseWrites:
		return 0, nil, true
	case s.faults.LateWrites:
		s.lateWrites = append(s.lateWrites, body)
		return 0, nil, true
	}
	if late := s.lateness(body); late > 0 {
		time.AfterFunc(late, func() { s.applyLate(body) })
		return 0, nil, true
	}
	status, answer = s.transact(body)
	return status, answer, s.faults.LoseAnswers
}

// lateness returns how much later than it arrives a transaction is done. The lock is held.
func (s *Store) lateness(body *transactionBody) time.Duration {
	if s.faults.Late == nil || len(body.Put) == 0 {
		return 0
	}
	return s.faults.Late(body.Put[0].Key)
}

// applyLate applies a transaction if its condition still holds.
func (s *Store) applyLate(body *transactionBody) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.transact(body)
}

// SeedsPrefix begins the keys in which gateways keep each other's addresses.
const SeedsPrefix = "capersaddle/gateways/"

// isForbidden reports whether gateways may not write a key. Keys of the operator and the servers are always
// forbidden. The lock is held.
func (s *Store) isForbidden(key string) bool {
	return strings.HasPrefix(key, "op/") || strings.HasPrefix(key, "servers/") || s.refusedPrefix != "" && strings.HasPrefix(key, s.refusedPrefix)
}

// transact applies a transaction completely or not at all. The lock is held.
func (s *Store) transact(body *transactionBody) (int, any) {
	current := []Item{}
	revisionsMatch := true
	for _, expected := range body.Expected {
		item := s.items[expected.Key]
		current = append(current, Item{Key: expected.Key, Value: item.Value, Revision: item.Revision})
		revisionsMatch = revisionsMatch && item.Revision == expected.Revision
	}
	if !revisionsMatch {
		return http.StatusPreconditionFailed, conflict{Items: current, At: s.revision}
	}
	if slices.ContainsFunc(body.Remove, s.isForbidden) {
		return http.StatusForbidden, struct{}{}
	}
	for _, put := range body.Put {
		if s.isForbidden(put.Key) {
			return http.StatusForbidden, struct{}{}
		}
		if _, ok := s.leases[put.Lease]; put.Lease != 0 && !ok {
			return http.StatusNotFound, struct{}{}
		}
	}
	for _, put := range body.Put {
		s.putLocked(put.Key, put.Value, put.Lease)
	}
	for _, key := range body.Remove {
		s.removeLocked(key)
	}
	return http.StatusOK, struct {
		Revision int64 `json:"revision"`
	}{s.revision}
}

// leaseBody is both the request and the response body of a lease call.
type leaseBody struct {
	Lease  int64 `json:"lease,omitempty"`
	Millis int64 `json:"ttl_ms"`
}

func (s *Store) serveLease(w http.ResponseWriter, r *http.Request) {
	var body leaseBody
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil || body.Millis <= 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.lastLease++
	body.Lease = s.lastLease
	s.leases[body.Lease] = time.Now().Add(time.Duration(body.Millis) * time.Millisecond)
	s.mu.Unlock()
	reply(w, http.StatusOK, body)
}

func (s *Store) serveKeep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.URL.Path[strings.LastIndexByte(r.URL.Path, '/')+1:], 10, 64)
	s.mu.Lock()
	_, ok := s.leases[id]
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, http.StatusOK, leaseBody{Lease: id})
}

// EndLeases ends all leases, as the store does after a long outage.
func (s *Store) EndLeases() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range s.leases {
		s.leases[id] = time.Time{}
	}
	s.expireLeases(time.Now())
}

// expireLeases removes the keys of expired leases. The lock is held.
func (s *Store) expireLeases(now time.Time) {
	for id, end := range s.leases {
		if now.Before(end) {
			continue
		}
		delete(s.leases, id)
		for _, key := range slices.Sorted(maps.Keys(s.items)) {
			if s.items[key].Lease == id {
				s.removeLocked(key)
			}
		}
	}
}
