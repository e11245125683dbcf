package agent

import (
	"slices"
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/capersaddle/capersaddle/internal/target"
	"github.com/capersaddle/capersaddle/internal/wire"
)

// CacheOptions describe an engine's prefix cache, as far as the agent needs to
// know it. They are estimates: a wrong one costs reuse, never a promise.
type CacheOptions struct {
	// Tokens is how many tokens the cache holds.
	Tokens int64
	// PrefillPerSecond is how many uncached tokens the engine takes in.
	PrefillPerSecond float64
	// HomeWaitFactor is how long a chat may wait for a place here, in
	// multiples of the time that its held prefix saves.
	HomeWaitFactor float64
	// MaxHomeWait bounds that wait.
	MaxHomeWait time.Duration
	// KeepOnLeave leaves the cache where it is when a target is to stop.
	KeepOnLeave bool
}

// Defaults of CacheOptions. The factor of 2 is measured in docs/MEASURES.md:
// at 0, reuse falls from 95 to 87 of 100 in steady load.
const (
	defaultCacheTokens    = 1_000_000
	defaultPrefill        = 4000
	defaultHomeWaitFactor = 2
	defaultMostHomeWait   = 3 * time.Second
	// mostHeld bounds the chats remembered for one engine.
	mostHeld = 1 << 14
)

func (o *CacheOptions) defaults() {
	if o.Tokens == 0 {
		o.Tokens = defaultCacheTokens
	}
	if o.PrefillPerSecond == 0 {
		o.PrefillPerSecond = defaultPrefill
	}
	if o.HomeWaitFactor == 0 {
		o.HomeWaitFactor = defaultHomeWaitFactor
	}
	if o.MaxHomeWait == 0 {
		o.MaxHomeWait = defaultMostHomeWait
	}
}

// heldChat is what is remembered of one chat.
type heldChat struct {
	tokens int64
	// request is the chat's last request here, by which the engine names it.
	request string
}

// held remembers which chats an engine has answered and how many tokens of
// each it is likely to hold, least recently used out first.
type held struct {
	options CacheOptions

	mu    sync.Mutex
	chats *lru.Cache[uint64, heldChat]
	// byRequest finds a chat by its last request.
	byRequest map[string]uint64
	tokens    int64
	// nextEvent is the number of the engine's next cache event.
	nextEvent uint64
}

func newHeld(options CacheOptions) *held {
	h := &held{options: options, byRequest: make(map[string]uint64)}
	chats, err := lru.NewWithEvict(mostHeld, func(_ uint64, chat heldChat) {
		h.tokens -= chat.tokens
		delete(h.byRequest, chat.request)
	})
	if err != nil {
		// Only a size below one fails.
		panic(err)
	}
	h.chats = chats
	return h
}

// has says whether the engine is likely to hold a chat.
func (h *held) has(chat uint64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.chats.Contains(chat)
}

// worth is how long a chat may wait for a place at this engine.
func (h *held) worth(chat uint64) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	known, ok := h.chats.Peek(chat)
	if !ok {
		return 0
	}
	seconds := h.options.HomeWaitFactor * float64(known.tokens) / h.options.PrefillPerSecond
	return min(time.Duration(seconds*float64(time.Second)), h.options.MaxHomeWait)
}

// put notes that the engine has answered a request of a chat and now holds
// its tokens.
func (h *held) put(chat uint64, request string, tokens int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.chats.Remove(chat)
	h.chats.Add(chat, heldChat{tokens: tokens, request: request})
	h.byRequest[request] = chat
	h.tokens += tokens
	for h.tokens > h.options.Tokens && h.chats.Len() > 1 {
		h.chats.RemoveOldest()
	}
}

// hottest lists the most recently used chats, up to a number.
func (h *held) hottest(most int) []*wire.HeldChat {
	h.mu.Lock()
	defer h.mu.Unlock()
	keys := h.chats.Keys()
	slices.Reverse(keys)
	chats := make([]*wire.HeldChat, 0, min(most, len(keys)))
	for _, key := range keys[:min(most, len(keys))] {
		known, _ := h.chats.Peek(key)
		chats = append(chats, &wire.HeldChat{Chat: key, RequestId: known.request, Tokens: known.tokens})
	}
	return chats
}

// next is the number to ask the engine's cache events after.
func (h *held) next() uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.nextEvent
}

// heard takes the engine's cache events: chats that it evicted are not held
// any more. After a gap the rest stays as it is: a chat wrongly thought held
// costs a prefill, one wrongly thought lost would cost it too.
func (h *held) heard(events target.CacheEvents) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.nextEvent = events.Next
	for _, event := range events.Events {
		if chat, ok := h.byRequest[event.RequestID]; ok && event.Evicted {
			h.chats.Remove(chat)
		}
	}
}
