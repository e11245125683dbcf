package agent

import (
	"cmp"
	"slices"
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/capersaddle/capersaddle/internal/target"
	"github.com/capersaddle/capersaddle/internal/wire"
)

// CacheOptions describes an engine's prefix cache as far as the agent needs to know it.
// The values are estimates: a wrong one costs cache reuse, but breaks no guarantee.
type CacheOptions struct {
	// Tokens is the capacity of the cache in tokens.
	Tokens int64
	// PrefillPerSecond is how many uncached tokens the engine processes per second.
	PrefillPerSecond float64
	// HomeWaitFactor is how long a chat may queue at this engine, in multiples of the
	// time that its cached prefix saves.
	HomeWaitFactor float64
	// MaxHomeWait limits that time.
	MaxHomeWait time.Duration
	// KeepOnLeave disables the hand-over of the cache when a target is about to stop.
	KeepOnLeave bool
}

// Defaults of CacheOptions. The factor of 2 was measured (docs/MEASURES.md): at 0, reuse
// falls from 95% to 87% in steady load.
const (
	defaultCacheTokens    = 1_000_000
	defaultPrefill        = 4000
	defaultHomeWaitFactor = 2
	defaultMaxHomeWait    = 3 * time.Second
	// maxHeldChats limits the chats tracked for one engine.
	maxHeldChats = 1 << 14
)

func (o *CacheOptions) defaults() {
	o.Tokens = cmp.Or(o.Tokens, defaultCacheTokens)
	o.PrefillPerSecond = cmp.Or(o.PrefillPerSecond, defaultPrefill)
	o.HomeWaitFactor = cmp.Or(o.HomeWaitFactor, defaultHomeWaitFactor)
	o.MaxHomeWait = cmp.Or(o.MaxHomeWait, defaultMaxHomeWait)
}

// heldChat is the record of one cached chat.
type heldChat struct {
	tokens int64
	// requestID is the ID of the chat's last request at this engine. The engine uses it to
	// name the chat.
	requestID string
}

// heldChats tracks which chats an engine has answered and how many tokens of each it
// probably has cached. The least recently used are evicted first.
type heldChats struct {
	options CacheOptions

	mu    sync.Mutex
	chats *lru.Cache[uint64, heldChat]
	// byRequest maps the ID of a chat's last request to the chat.
	byRequest map[string]uint64
	tokens    int64
	// nextEvent is the number of the engine's next cache event.
	nextEvent uint64
}

func newHeldChats(options CacheOptions) *heldChats {
	h := &heldChats{options: options, byRequest: make(map[string]uint64)}
	chats, err := lru.NewWithEvict(maxHeldChats, func(_ uint64, chat heldChat) {
		h.tokens -= chat.tokens
		delete(h.byRequest, chat.requestID)
	})
	if err != nil {
		// The LRU rejects only sizes below one.
		panic(err)
	}
	h.chats = chats
	return h
}

// contains reports whether the engine probably has a chat cached.
func (h *heldChats) contains(chat uint64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.chats.Contains(chat)
}

// maxWait returns how long a chat may queue at this engine.
func (h *heldChats) maxWait(chat uint64) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	known, ok := h.chats.Peek(chat)
	if !ok {
		return 0
	}
	seconds := h.options.HomeWaitFactor * float64(known.tokens) / h.options.PrefillPerSecond
	return min(time.Duration(seconds*float64(time.Second)), h.options.MaxHomeWait)
}

// add records that the engine has answered a request of a chat and now has its tokens
// cached.
func (h *heldChats) add(chat uint64, request string, tokens int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.chats.Remove(chat)
	h.chats.Add(chat, heldChat{tokens: tokens, requestID: request})
	h.byRequest[request] = chat
	h.tokens += tokens
	for h.tokens > h.options.Tokens && h.chats.Len() > 1 {
		h.chats.RemoveOldest()
	}
}

// mostRecent returns the most recently used chats, at most limit of them.
func (h *heldChats) mostRecent(limit int) []*wire.HeldChat {
	h.mu.Lock()
	defer h.mu.Unlock()
	keys := h.chats.Keys()
	slices.Reverse(keys)
	chats := make([]*wire.HeldChat, 0, min(limit, len(keys)))
	for _, key := range keys[:min(limit, len(keys))] {
		known, _ := h.chats.Peek(key)
		chats = append(chats, &wire.HeldChat{Chat: key, RequestId: known.requestID, Tokens: known.tokens})
	}
	return chats
}

// nextEventNumber returns the number from which to request the engine's cache events.
func (h *heldChats) nextEventNumber() uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.nextEvent
}

// applyEvents applies the engine's cache events: chats that it evicted are no longer
// held. After a gap in the events the other chats stay: a chat wrongly taken for held
// costs a prefill, and so would one wrongly taken for evicted.
func (h *heldChats) applyEvents(events target.CacheEvents) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.nextEvent = events.Next
	for _, event := range events.Events {
		if chat, ok := h.byRequest[event.RequestID]; ok && event.Evicted {
			h.chats.Remove(chat)
		}
	}
}
