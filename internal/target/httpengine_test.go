package target

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

func collect(t *testing.T, events string) (text string, finish string, err error) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, events)
	}))
	defer server.Close()
	engine := &HTTPEngine{Base: server.URL, Client: server.Client()}
	generation, err := engine.Generate(t.Context(), GenerateRequest{Body: []byte(`{"model":"m"}`)})
	is.New(t).NoErr(err)
	defer func() { _ = generation.Close() }()
	for {
		piece, err := generation.Next()
		if errors.Is(err, io.EOF) {
			return text, finish, nil
		}
		if err != nil {
			return text, finish, err
		}
		text += piece.Text
		if piece.Finish != "" {
			finish = piece.Finish
		}
	}
}

// TestEngineStreams checks that only a stream with both a finish reason and its closing event
// counts as complete.
func TestEngineStreams(t *testing.T) {
	const a = `data: {"choices":[{"delta":{"content":"a"}}]}` + "\n\n"
	const stop = `data: {"choices":[{"delta":{},"finish_reason":"stop"}]}` + "\n\n"
	const done = "data: [DONE]\n\n"
	tests := map[string]struct {
		events, text, finish string
		cut                  bool
	}{
		"whole":                       {a + a + stop + done, "aa", "stop", false},
		"finish with the last text":   {a + `data: {"choices":[{"delta":{"content":"b"},"finish_reason":"length"}]}` + "\n\n" + done, "ab", "length", false},
		"usage after the finish":      {a + stop + `data: {"choices":[],"usage":{"prompt_tokens":3}}` + "\n\n" + done, "a", "stop", false},
		"comments and empty deltas":   {": ping\n\n" + `data: {"choices":[{"delta":{"role":"assistant"}}]}` + "\n\n" + a + stop + done, "a", "stop", false},
		"cut before the finish":       {a + a, "aa", "", true},
		"cut before the closing":      {a + stop, "a", "", true},
		"closed without a finish":     {a + done, "a", "", true},
		"unreadable event":            {a + "data: {nonsense\n\n" + done, "a", "", true},
		"cut in the middle of a line": {a + `data: {"choices":[{"de`, "a", "", true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			text, finish, err := collect(t, tt.events)
			is.Equal(text, tt.text)
			is.Equal(finish, tt.finish)
			is.Equal(errors.Is(err, ErrCut), tt.cut)
		})
	}
}

func FuzzParseChat(f *testing.F) {
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":"hi"}]}`))
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":[{"type":"text","text":"hi"}]}]}`))
	f.Add([]byte(`[]`))
	f.Fuzz(func(t *testing.T, body []byte) {
		chat, err := ParseChat(body)
		if err == nil && (chat.Model == "" || len(chat.Messages) == 0) {
			t.Fatal("accepted without model or messages")
		}
		for i := range chat.Messages {
			chat.Messages[i].Text()
		}
	})
}
