package agent

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/capersaddle/capersaddle/internal/target"
)

func testHeld() *held {
	options := CacheOptions{Tokens: 1000}
	options.defaults()
	return newHeld(options)
}

// Chats are held until the cache's size would be passed, or the engine says
// that it evicted them, however late; a gap in what it says changes nothing.
func TestHeld(t *testing.T) {
	is := is.New(t)
	h := testHeld()
	for chat := range uint64(4) {
		h.put(chat, fmt.Sprintf("r%d", chat), 300)
	}
	is.True(!h.has(0)) // 4 x 300 tokens are over 1,000
	is.True(h.has(3))
	is.Equal(h.worth(3), 150*time.Millisecond) // twice 300 of 4,000 tokens a second
	is.Equal(h.worth(0), time.Duration(0))
	h.put(3, "r3-again", 310)
	h.heard(target.CacheEvents{Next: 7, Events: []target.CacheEvent{{RequestID: "r3", Evicted: true}, {RequestID: "r2", Evicted: true}, {RequestID: "r1"}}})
	is.True(h.has(3))  // its later request is still held
	is.True(!h.has(2)) // evicted
	is.True(h.has(1))
	h.heard(target.CacheEvents{Next: 90, Gap: true})
	is.True(h.has(1))
	is.Equal(h.next(), uint64(90))
	hottest := h.hottest(9)
	is.Equal(len(hottest), 2)
	is.Equal(hottest[0].GetRequestId(), "r3-again")
}
