package process_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/capersaddle/capersaddle/internal/emulator"
)

// TestEarlyResets guards against gateways that pass on a part of an answer as a whole one, where targets answer
// long requests before they have read them and reset their connections.
func TestEarlyResets(t *testing.T) {
	const tries, longBody = 60, 1_000_000
	f := newFleet(t, 1)
	for _, path := range []string{"/pay/1", "/ask/1", "/chat/1"} {
		t.Run(path, func(t *testing.T) {
			is := is.New(t)
			body := strings.Repeat("x", longBody)
			for number := range tries {
				for _, server := range append(f.plain, f.engines...) {
					server.Misbehave(emulator.EarlyReset, -1)
				}
				id := fmt.Sprintf("%s-%d", path[1:4], number)
				got := f.callWithBody(0, path, id, body)
				if got.status == http.StatusOK && got.err == nil && got.body != fullStream(6) {
					t.Errorf("%q came as a whole answer", got.body)
				}
				if got.status == http.StatusTooManyRequests || got.status == http.StatusServiceUnavailable {
					is.True(!f.ranIDs()[id])
				}
			}
			for _, server := range append(f.plain, f.engines...) {
				server.Misbehave(emulator.Sound, 0)
			}
			eventually(t, "requests are served", func() bool {
				got := f.callWithBody(0, path, "sound-"+path[1:4], body)
				return got.status == http.StatusOK && got.err == nil
			})
		})
	}
}
