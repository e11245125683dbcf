package dev

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/capersaddle/capersaddle/internal/process"
	"github.com/capersaddle/capersaddle/internal/router"
	"github.com/capersaddle/capersaddle/internal/target"
)

// client calls one router as a caller does.
type client struct {
	base string
	http *http.Client
}

func newClient(address string) *client {
	return &client{base: "http://" + address, http: http.DefaultClient}
}

// httpResult is an HTTP response with its complete body.
type httpResult struct {
	status   int
	header   http.Header
	body     string
	runState string
}

func (c *client) do(ctx context.Context, method, path string, header map[string]string, body string) (httpResult, error) {
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, strings.NewReader(body))
	if err != nil {
		return httpResult{}, errors.Wrap(err, "create request")
	}
	request.Header.Set("Authorization", "Bearer "+Key)
	for name, value := range header {
		request.Header.Set(name, value)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return httpResult{}, errors.Wrap(err, "send request")
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return httpResult{
		status:   response.StatusCode,
		header:   response.Header,
		body:     string(data),
		runState: response.Header.Get(router.HeaderRunState),
	}, errors.Wrap(err, "read response")
}

// topUp sends a request that must not be repeated.
func (c *client) topUp(ctx context.Context, key, meter string) (httpResult, error) {
	header := map[string]string{router.HeaderKey: key}
	return c.do(ctx, http.MethodPost, "/v1/services/"+Service+"/credit", header, fmt.Sprintf(`{"meter":%q}`, meter))
}

// chatStream is a streamed chat response as the caller received it.
type chatStream struct {
	text      string
	pieces    int
	finish    string
	done      bool
	usage     target.ChunkUsage
	placement string
	failure   string
}

// chatBody encodes a chat completions request.
func chatBody(maxTokens int, messages ...target.ChatMessage) string {
	body, _ := json.Marshal(map[string]any{
		"model":          Model,
		"stream":         true,
		"stream_options": target.StreamOptions{IncludeUsage: true},
		"max_tokens":     maxTokens,
		"messages":       messages,
	})
	return string(body)
}

func message(role, text string) target.ChatMessage {
	content, _ := json.Marshal(text)
	return target.ChatMessage{Role: role, Content: content}
}

// chat streams a chat and calls onPiece with the number of pieces after each event.
func (c *client) chat(ctx context.Context, body, placement string, onPiece func(pieces int)) (chatStream, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return chatStream{}, errors.Wrap(err, "create request")
	}
	request.Header.Set("Authorization", "Bearer "+Key)
	if placement != "" {
		request.Header.Set(router.HeaderPlacement, placement)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return chatStream{}, errors.Wrap(err, "send request")
	}
	defer func() { _ = response.Body.Close() }()
	stream := chatStream{placement: response.Header.Get(router.HeaderPlacement)}
	if response.StatusCode != http.StatusOK {
		data, _ := io.ReadAll(response.Body)
		return stream, errors.Newf("status %d: %s", response.StatusCode, data)
	}
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if ok {
			stream.addEvent(data)
			onPiece(stream.pieces)
		}
	}
	return stream, errors.Wrap(lines.Err(), "read stream")
}

func (s *chatStream) addEvent(data string) {
	if data == "[DONE]" {
		s.done = true
		return
	}
	var chunk struct {
		target.Chunk
		Error json.RawMessage `json:"error"`
	}
	if json.Unmarshal([]byte(data), &chunk) != nil {
		return
	}
	if len(chunk.Error) > 0 {
		s.failure = string(chunk.Error)
	}
	if chunk.Usage != nil {
		s.usage = *chunk.Usage
	}
	if len(chunk.Choices) == 0 {
		return
	}
	choice := chunk.Choices[0]
	if choice.Delta.Content != "" {
		s.text += choice.Delta.Content
		s.pieces++
	}
	if choice.FinishReason != nil {
		s.finish = *choice.FinishReason
	}
}

// statusOf returns the status of a GET request, or zero if it fails.
func statusOf(ctx context.Context, url string) int {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	return response.StatusCode
}

// operatorGet reads a response of the operators' API.
func operatorGet[T any](ctx context.Context, p process.Process, path string) (T, error) {
	var decoded T
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.Addresses().Operators+"/operator/v1"+path, nil)
	if err != nil {
		return decoded, errors.Wrap(err, "create request")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return decoded, errors.Wrap(err, "send request")
	}
	defer func() { _ = response.Body.Close() }()
	return decoded, errors.Wrap(json.NewDecoder(response.Body).Decode(&decoded), "read response")
}

// routesToAllTargets reports whether a router routes requests to all targets.
func routesToAllTargets(ctx context.Context, p process.Process) bool {
	status, err := operatorGet[process.Status](ctx, p, "/status")
	return err == nil && status.RoutedTargets == engineHosts*enginesPerHost+serviceHosts
}
