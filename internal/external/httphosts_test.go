package external_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/capersaddle/capersaddle/internal/external"
)

// TestOddHosts guards against an agent that no longer knows that its host leaves, because another writer left
// an odd entry in the list of hosts.
func TestOddHosts(t *testing.T) {
	const depth = 20_000 // deeper than encoding/json decodes
	nested := strings.Repeat("[", depth) + strings.Repeat("]", depth)
	objects := strings.Repeat(`{"a":`, depth) + "1" + strings.Repeat("}", depth)
	for name, odd := range map[string]string{
		"null":                    "null",
		"a number":                "1e999999999",
		"a text":                  `"host"`,
		"an array":                `[{"id":"b"}]`,
		"an empty object":         "{}",
		"deeply nested":           nested,
		"a deeply nested object":  objects,
		"a deeply nested field":   `{"labels":` + nested + `}`,
		"a deeply nested state":   `{"id":"b","state":` + objects + `}`,
		"a number too large":      `{"id":"b","state":1e999999999}`,
		"an ID that is no text":   `{"id":18446744073709551616}`,
		"an address with numbers": `{"id":"b","address":["127.0.0.1",65536]}`,
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			list := `[{"id":"a","address":"127.0.0.1","state":"leaving"},` + odd + `,{"state":"live","rack":{"row":7},"slots":1e400,"id":"c"}]`
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				_, _ = io.WriteString(w, list)
			}))
			defer server.Close()
			hosts, err := (&external.HTTPHosts{Base: server.URL, Client: server.Client()}).List(t.Context())
			is.NoErr(err)
			is.Equal(hosts, []external.Host{{ID: "a", Address: "127.0.0.1", State: external.HostLeaving}, {ID: "c", State: external.HostLive}})
		})
	}
}

// TestBadHostList checks that a list which can't be read at all is an error, and not an empty list.
func TestBadHostList(t *testing.T) {
	for name, list := range map[string]string{
		"empty": "", "no array": `{"id":"a"}`, "cut in an entry": `[{"id":"a"`, "cut after an entry": `[{"id":"a"}`, "cut in a nested value": `[{"id":"a","b":[[`, "not JSON": "<html>",
	} {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				_, _ = io.WriteString(w, list)
			}))
			defer server.Close()
			_, err := (&external.HTTPHosts{Base: server.URL, Client: server.Client()}).List(t.Context())
			is.New(t).True(err != nil)
		})
	}
}
