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

// command sends an operator's command and records the outcome.
func (w *world) command(p *process, operator string, command config.Command) (config.Result, error) {
	command.Operator = operator
	ctx, cancel := context.WithTimeout(w.ctx, 10*time.Second)
	defer cancel()
	result, err := p.editor.Do(ctx, command)
	names := make([]string, 0, len(command.Changes))
	for _, c := range command.Changes {
		names = append(names, c.Name)
	}
	description := fmt.Sprintf("%s changes %s through %s", operator, strings.Join(names, ", "), p.name)
	switch {
	case err != nil:
		failure := fault.From(err)
		w.record("operator", "%s: %s", description, describeFailure(failure))
	case result.Repeat:
		w.record("operator", "%s: was accepted before, at revision %d", description, result.Revision)
	default:
		w.record("operator", "%s: accepted at revision %d", description, result.Revision)
	}
	return result, err
}

func describeFailure(failure *fault.Error) string {
	if failure.Kind == fault.Unsettled {
		return "not settled (unsettled)"
	}
	return fmt.Sprintf("refused (%s, %s)", failure.Kind, failure.State)
}

func newChange(name string, value any) config.Change {
	data, _ := json.Marshal(value)
	return config.Change{Name: name, Value: data}
}

// configure applies the first configuration and waits until all processes have it.
func (w *world) configure(workspaces ...string) {
	changes := []config.Change{
		newChange("model/"+model, config.Model{}),
		newChange("service/"+service, config.Service{NotRepeatable: []string{"/credit"}, Slots: 8}),
	}
	for _, workspace := range workspaces {
		changes = append(changes, newChange("workspace/"+workspace, config.Workspace{KeyHashes: []string{config.HashKey(workspace + "-key")}}))
	}
	for _, name := range slices.Sorted(keysOf(w.routers)) {
		_, _ = w.command(w.routers[name], "ama", config.Command{ID: "first", Changes: changes})
		break
	}
	time.Sleep(15 * time.Second)
}

func keysOf[V any](m map[string]V) func(func(string) bool) {
	return func(yield func(string) bool) {
		for key := range m {
			if !yield(key) {
				return
			}
		}
	}
}

// call sends a request to a router as a caller does.
func (w *world) call(p *process, workspace, method, path string, header map[string]string, body string) *httptest.ResponseRecorder {
	request := httptest.NewRequestWithContext(w.ctx, method, path, strings.NewReader(body))
	request.Header.Set("Authorization", "Bearer "+workspace+"-key")
	for name, value := range header {
		request.Header.Set(name, value)
	}
	recorder := httptest.NewRecorder()
	func() {
		// A broken stream panics with http.ErrAbortHandler, which an HTTP server would recover
		// from.
		defer func() { _ = recover() }()
		p.handler.ServeHTTP(recorder, request)
	}()
	return recorder
}

type errorResponse struct {
	Error struct {
		Code     string `json:"code"`
		RunState string `json:"run_state"`
	} `json:"error"`
}

// errorSummary returns the kind and the run state of an error response.
func errorSummary(body string) string {
	var response errorResponse
	_ = json.Unmarshal([]byte(body), &response)
	return response.Error.Code + ", " + response.Error.RunState
}

// newKey creates a key and registers a short name for it in the transcript. It builds the
// UUIDv7 itself because a library's generator never goes back in time, while each session
// starts at the same virtual time.
func (w *world) newKey(name string) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.keyCount++
	var id uuid.UUID
	binary.BigEndian.PutUint64(id[:8], uint64(time.Now().UnixMilli())<<16)
	binary.BigEndian.PutUint32(id[12:], w.keyCount)
	id[6] = 0x70
	id[8] = 0x80
	w.names[id.String()] = name
	return id.String()
}

// topUp sends a request with an idempotency key and records the response.
func (w *world) topUp(p *process, workspace, key string) *httptest.ResponseRecorder {
	response := w.call(p, workspace, http.MethodPost, "/v1/services/"+service+"/credit", map[string]string{router.HeaderKey: key}, `{"meter":"4711"}`)
	description := fmt.Sprintf("%s tops up with %s through %s", workspace, key, p.name)
	if response.Code == http.StatusOK {
		w.record("caller", "%s: %s", description, response.Body)
		return response
	}
	w.record("caller", "%s: status %d (%s), come back after %s s", description, response.Code, errorSummary(response.Body.String()), response.Header().Get("Retry-After"))
	return response
}

// chatResult is a streamed chat response as the caller received it.
type chatResult struct {
	status    int
	text      string
	pieces    int
	done      bool
	failure   string
	placement string
	cached    int64
}

// chat streams a chat and returns the result.
func (w *world) chat(p *process, workspace, question string, tokens int) chatResult {
	return w.sendChat(p, workspace, "", tokens, chatMessage("user", question))
}

// returnChat sends the next turn of a chat with its placement token.
func (w *world) returnChat(p *process, workspace, question string, previous chatResult) chatResult {
	return w.sendChat(p, workspace, previous.placement, 2, chatMessage("user", question), chatMessage("assistant", previous.text), chatMessage("user", "and then?"))
}

func chatMessage(role, text string) target.ChatMessage {
	content, _ := json.Marshal(text)
	return target.ChatMessage{Role: role, Content: content}
}

func (w *world) sendChat(p *process, workspace, token string, tokens int, messages ...target.ChatMessage) chatResult {
	body, _ := json.Marshal(map[string]any{
		"model": model, "stream": true, "max_tokens": tokens,
		"stream_options": target.StreamOptions{IncludeUsage: true},
		"messages":       messages,
	})
	header := map[string]string{}
	if token != "" {
		header[router.HeaderPlacement] = token
	}
	response := w.call(p, workspace, http.MethodPost, "/v1/chat/completions", header, string(body))
	result := chatResult{status: response.Code, placement: response.Header().Get(router.HeaderPlacement)}
	if result.status != http.StatusOK {
		result.failure = errorSummary(response.Body.String())
		return result
	}
	for event := range strings.SplitSeq(response.Body.String(), "\n\n") {
		result.addEvent(strings.TrimPrefix(event, "data: "))
	}
	return result
}

func (s *chatResult) addEvent(data string) {
	if data == "[DONE]" {
		s.done = true
		return
	}
	var chunk struct {
		target.Chunk
		errorResponse
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

// String describes the outcome of a chat in plain words.
func (s chatResult) String() string {
	switch {
	case s.done:
		return fmt.Sprintf("whole, %d pieces from %s", s.pieces, s.placement)
	case s.status != http.StatusOK:
		return fmt.Sprintf("status %d (%s)", s.status, s.failure)
	}
	return fmt.Sprintf("broken after %d pieces (%s)", s.pieces, s.failure)
}
