package agent

import (
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
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
	// MostHomeWait bounds that wait.
	MostHomeWait time.Duration
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
	if o.MostHomeWait == 0 {
		o.MostHomeWait = defaultMostHomeWait
	}
}

// held remembers which chats an engine has answered and how many tokens of
// each it is likely to hold, least recently used out first.
type held struct {
	options CacheOptions

	mu     sync.Mutex
	chats  *lru.Cache[uint64, int64]
	tokens int64
}

func newHeld(options CacheOptions) *held {
	h := &held{options: options}
	chats, err := lru.NewWithEvict(mostHeld, func(_ uint64, tokens int64) { h.tokens -= tokens })
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
	tokens, ok := h.chats.Peek(chat)
	if !ok {
		return 0
	}
	seconds := h.options.HomeWaitFactor * float64(tokens) / h.options.PrefillPerSecond
	return min(time.Duration(seconds*float64(time.Second)), h.options.MostHomeWait)
}

// put notes that the engine has answered a chat and now holds its tokens.
func (h *held) put(chat uint64, tokens int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.chats.Remove(chat)
	h.chats.Add(chat, tokens)
	h.tokens += tokens
	for h.tokens > h.options.Tokens && h.chats.Len() > 1 {
		h.chats.RemoveOldest()
	}
}
