package session

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/capersaddle/capersaddle/internal/config"
	"github.com/capersaddle/capersaddle/internal/fault"
	"github.com/capersaddle/capersaddle/internal/router"
	"github.com/capersaddle/capersaddle/internal/target"
)

// command sends an operators' command and says how it ended.
func (w *world) command(p *process, who string, command config.Command) (config.Result, error) {
	command.Operator = who
	ctx, cancel := context.WithTimeout(w.ctx, 10*time.Second)
	defer cancel()
	result, err := p.editor.Do(ctx, command)
	names := make([]string, 0, len(command.Changes))
	for _, c := range command.Changes {
		names = append(names, c.Name)
	}
	what := fmt.Sprintf("%s changes %s through %s", who, strings.Join(names, ", "), p.name)
	switch {
	case err != nil:
		failure := fault.From(err)
		w.say("operator", "%s: %s", what, describeFailure(failure))
	case result.Repeat:
		w.say("operator", "%s: was accepted before, at revision %d", what, result.Revision)
	default:
		w.say("operator", "%s: accepted at revision %d", what, result.Revision)
	}
	return result, err
}

func describeFailure(failure *fault.Error) string {
	if failure.Kind == fault.Unsettled {
		return "not settled (unsettled)"
	}
	return fmt.Sprintf("refused (%s, %s)", failure.Kind, failure.State)
}

func set(name string, value any) config.Change {
	data, _ := json.Marshal(value)
	return config.Change{Name: name, Value: data}
}

// configure sets the first configuration and waits until all have it.
func (w *world) configure(workspaces ...string) {
	changes := []config.Change{
		set("model/"+model, config.Model{}),
		set("service/"+service, config.Service{NotRepeatable: []string{"/credit"}, Slots: 8}),
	}
	for _, workspace := range workspaces {
		changes = append(changes, set("workspace/"+workspace, config.Workspace{KeyHashes: []string{config.HashKey(workspace + "-key")}}))
	}
	for _, name := range slices.Sorted(mapsKeys(w.routers)) {
		_, _ = w.command(w.routers[name], "ama", config.Command{ID: "first", Changes: changes})
		break
	}
	time.Sleep(15 * time.Second)
}

func mapsKeys[V any](m map[string]V) func(func(string) bool) {
	return func(yield func(string) bool) {
		for key := range m {
			if !yield(key) {
				return
			}
		}
	}
}

// call sends a request to a router as a caller would.
func (w *world) call(p *process, workspace, method, path string, header map[string]string, body string) *httptest.ResponseRecorder {
	request := httptest.NewRequestWithContext(w.ctx, method, path, strings.NewReader(body))
	request.Header.Set("Authorization", "Bearer "+workspace+"-key")
	for name, value := range header {
		request.Header.Set(name, value)
	}
	recorder := httptest.NewRecorder()
	func() {
		// A broken stream ends in http.ErrAbortHandler, as under a server.
		defer func() { _ = recover() }()
		p.handler.ServeHTTP(recorder, request)
	}()
	return recorder
}

type errorAnswer struct {
	Error struct {
		Code     string `json:"code"`
		RunState string `json:"run_state"`
	} `json:"error"`
}

// refusal gives the kind and run state of an error answer.
func refusal(body string) string {
	var answer errorAnswer
	_ = json.Unmarshal([]byte(body), &answer)
	return answer.Error.Code + ", " + answer.Error.RunState
}

// newKey makes a key with a short name for the session. The UUIDv7 is put
// together here because a library's generator never goes back in time, and
// each session begins at the same virtual time.
func (w *world) newKey(name string) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.keys++
	var id uuid.UUID
	binary.BigEndian.PutUint64(id[:8], uint64(time.Now().UnixMilli())<<16)
	binary.BigEndian.PutUint32(id[12:], w.keys)
	id[6] = 0x70
	id[8] = 0x80
	w.names[id.String()] = name
	return id.String()
}

// topUp sends a keyed request and says what came back.
func (w *world) topUp(p *process, workspace, key string) *httptest.ResponseRecorder {
	answer := w.call(p, workspace, http.MethodPost, "/v1/services/"+service+"/credit", map[string]string{router.HeaderKey: key}, `{"meter":"4711"}`)
	what := fmt.Sprintf("%s tops up with %s through %s", workspace, key, p.name)
	if answer.Code == http.StatusOK {
		w.say("caller", "%s: %s", what, answer.Body)
		return answer
	}
	w.say("caller", "%s: status %d (%s), come back after %s s", what, answer.Code, refusal(answer.Body.String()), answer.Header().Get("Retry-After"))
	return answer
}

// streamed is a chat as its caller saw it.
type streamed struct {
	status    int
	text      string
	pieces    int
	done      bool
	failure   string
	placement string
	cached    int64
}

// chat streams a chat and says what came back.
func (w *world) chat(p *process, workspace, question string, tokens int) streamed {
	return w.converse(p, workspace, "", tokens, say("user", question))
}

// returning sends the next turn of a chat with its placement token.
func (w *world) returning(p *process, workspace, question string, before streamed) streamed {
	return w.converse(p, workspace, before.placement, 2, say("user", question), say("assistant", before.text), say("user", "and then?"))
}

func say(role, text string) target.ChatMessage {
	content, _ := json.Marshal(text)
	return target.ChatMessage{Role: role, Content: content}
}

func (w *world) converse(p *process, workspace, token string, tokens int, messages ...target.ChatMessage) streamed {
	body, _ := json.Marshal(map[string]any{
		"model": model, "stream": true, "max_tokens": tokens,
		"stream_options": target.StreamOptions{IncludeUsage: true},
		"messages":       messages,
	})
	header := map[string]string{}
	if token != "" {
		header[router.HeaderPlacement] = token
	}
	answer := w.call(p, workspace, http.MethodPost, "/v1/chat/completions", header, string(body))
	got := streamed{status: answer.Code, placement: answer.Header().Get(router.HeaderPlacement)}
	if got.status != http.StatusOK {
		got.failure = refusal(answer.Body.String())
		return got
	}
	for event := range strings.SplitSeq(answer.Body.String(), "\n\n") {
		got.take(strings.TrimPrefix(event, "data: "))
	}
	return got
}

func (s *streamed) take(data string) {
	if data == "[DONE]" {
		s.done = true
		return
	}
	var chunk struct {
		target.Chunk
		errorAnswer
	}
	if json.Unmarshal([]byte(data), &chunk) != nil {
		return
	}
	if chunk.Error.Code != "" {
		s.failure = chunk.Error.Code + ", " + chunk.Error.RunState
	}
	if chunk.Usage != nil {
		s.cached = chunk.Usage.PromptTokensDetails.CachedTokens
	}
	if len(chunk.Choices) > 0 && chunk.Choices[0].Delta.Content != "" {
		s.text += chunk.Choices[0].Delta.Content
		s.pieces++
	}
}

// String tells a chat's end as a person would.
func (s streamed) String() string {
	switch {
	case s.done:
		return fmt.Sprintf("whole, %d pieces from %s", s.pieces, s.placement)
	case s.status != http.StatusOK:
		return fmt.Sprintf("status %d (%s)", s.status, s.failure)
	}
	return fmt.Sprintf("broken after %d pieces (%s)", s.pieces, s.failure)
}
