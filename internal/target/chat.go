package target

import (
	"encoding/json"
	"strings"

	"github.com/cockroachdb/errors"
)

// ChatBody holds the fields of an OpenAI chat completions request that the system reads; the
// other fields are passed through unchanged.
type ChatBody struct {
	Model    string        `json:"model"`
	Messages []ChatMessage `json:"messages"`
	Stream   bool          `json:"stream"`
	// StreamOptions is nil if absent.
	StreamOptions *StreamOptions `json:"stream_options"`
	MaxTokens     int            `json:"max_tokens"`
	// MaxCompletionTokens is the newer name of MaxTokens.
	MaxCompletionTokens int    `json:"max_completion_tokens"`
	User                string `json:"user"`
	// PromptCacheKey, if given, identifies the chat for session affinity.
	PromptCacheKey string `json:"prompt_cache_key"`
}

// StreamOptions is the OpenAI object of that name.
type StreamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// ChatMessage is one message; its content may be a string or a list of parts.
type ChatMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// ParseChat parses the known fields and checks that the model and the messages are given.
func ParseChat(body []byte) (ChatBody, error) {
	var chat ChatBody
	if err := json.Unmarshal(body, &chat); err != nil {
		return ChatBody{}, errors.Wrap(err, "body is not a chat completions request")
	}
	if chat.Model == "" {
		return ChatBody{}, errors.New("field model is missing")
	}
	if len(chat.Messages) == 0 {
		return ChatBody{}, errors.New("field messages is missing or empty")
	}
	return chat, nil
}

// Limit returns the maximum number of tokens that the caller wants; zero if not set.
func (c *ChatBody) Limit() int {
	if c.MaxCompletionTokens > 0 {
		return c.MaxCompletionTokens
	}
	return c.MaxTokens
}

// Text returns the content of a message as plain text.
func (m *ChatMessage) Text() string {
	var text string
	if json.Unmarshal(m.Content, &text) == nil {
		return text
	}
	var parts []struct {
		Text string `json:"text"`
	}
	if json.Unmarshal(m.Content, &parts) != nil {
		return ""
	}
	texts := make([]string, 0, len(parts))
	for _, part := range parts {
		texts = append(texts, part.Text)
	}
	return strings.Join(texts, " ")
}
