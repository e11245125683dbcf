package process_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/capersaddle/capersaddle/internal/emulator"
	"github.com/capersaddle/capersaddle/internal/quarantine"
)

// TestHeldAfterAllGatewaysAreKilled checks that what is held back is saved in the store as soon as it
// is, and not with the next checkpoint, seconds later: all gateways were killed before that, and their
// next instances let the same requests crash as many targets again.
func TestHeldAfterAllGatewaysAreKilled(t *testing.T) {
	cases := map[string]struct {
		fatal emulator.Fatal
		// prompt and body are those of a fatal request, given an ID.
		prompt func(id string) string
		body   func(id string) string
	}{
		"a request": {
			fatal:  emulator.Fatal{Body: fatalBody, After: 10 * time.Millisecond, Back: restartDelay},
			prompt: func(id string) string { return promptOf("aa", id) },
			body:   func(string) string { return fatalBody },
		},
		"a part": {
			fatal:  emulator.Fatal{Parts: []string{fatalPart}, After: 10 * time.Millisecond, Back: restartDelay},
			prompt: func(id string) string { return promptOf("aa", fatalPart, id) },
			body:   func(id string) string { return id },
		},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f := fatalFleet(t, 2, test.fatal, false)
			number := 0
			send := func(gateway int) answer {
				number++
				id := gatewayName(number)
				return f.send(gateway, http.MethodPost, "/ask/1", id, "key-1", test.prompt(id), test.body(id))
			}
			eventually(t, "the request is held back", func() bool {
				got := send(number % 2)
				return got.status == http.StatusBadRequest || got.status == http.StatusServiceUnavailable
			})
			eventually(t, "the store has what is held", func() bool { return f.storedHold() })
			for _, gateway := range f.gateways {
				_ = gateway.Close()
			}
			f.gateways = nil
			for i := range 2 {
				f.gateways = append(f.gateways, f.startGateway(t, gatewayName(100+i), nil))
				eventually(t, "the new gateway is ready", f.gateways[i].Ready)
			}
			before := len(f.platform.Crashes("plain"))
			for gateway := range f.gateways {
				is.True(send(gateway).status != http.StatusOK)
			}
			is.Equal(len(f.platform.Crashes("plain")), before)
			eventually(t, "a sound request is served", func() bool { // by a target that is back
				return f.send(0, http.MethodPost, "/ask/1", "sound", "key-1", promptOf("aa", "sound"), "sound").status == http.StatusOK
			})
		})
	}
}

// storedHold reports whether a gateway has saved a record at its limit.
func (f *fleet) storedHold() bool {
	for i := range f.gateways {
		item, ok := f.platform.Store.Get("capersaddle/crashes/" + gatewayName(i))
		if !ok {
			continue
		}
		records, err := quarantine.Decode(item.Value)
		if err == nil && len(records) > 0 && records[0].AtLimit() {
			return true
		}
	}
	return false
}
