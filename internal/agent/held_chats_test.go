package agent

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/capersaddle/capersaddle/internal/target"
)

func newTestHeldChats() *heldChats {
	options := CacheOptions{Tokens: 1000}
	options.defaults()
	return newHeldChats(options)
}

// TestHeldChats checks that chats are held until they exceed the cache's size or the
// engine reports their eviction, however late. A gap in the events changes nothing.
func TestHeldChats(t *testing.T) {
	is := is.New(t)
	h := newTestHeldChats()
	for chat := range uint64(4) {
		h.add(chat, fmt.Sprintf("r%d", chat), 300)
	}
	is.True(!h.contains(0)) // 4 x 300 tokens are over 1,000
	is.True(h.contains(3))
	is.Equal(h.maxWait(3), 150*time.Millisecond) // twice 300 of 4,000 tokens a second
	is.Equal(h.maxWait(0), time.Duration(0))
	h.add(3, "r3-again", 310)
	h.applyEvents(target.CacheEvents{Next: 7, Events: []target.CacheEvent{{RequestID: "r3", Evicted: true}, {RequestID: "r2", Evicted: true}, {RequestID: "r1"}}})
	is.True(h.contains(3))  // its later request is still held
	is.True(!h.contains(2)) // evicted
	is.True(h.contains(1))
	h.applyEvents(target.CacheEvents{Next: 90, Gap: true})
	is.True(h.contains(1))
	is.Equal(h.nextEventNumber(), uint64(90))
	hottest := h.mostRecent(9)
	is.Equal(len(hottest), 2)
	is.Equal(hottest[0].GetRequestId(), "r3-again")
}
