package target

import (
	"encoding/json"
	"strings"

	"github.com/cockroachdb/errors"
)

// ChatBody is the part of an OpenAI chat completions request that the system
// reads; the rest passes through untouched.
type ChatBody struct {
	Model    string        `json:"model"`
	Messages []ChatMessage `json:"messages"`
	Stream   bool          `json:"stream"`
	// StreamOptions is nil when absent.
	StreamOptions *StreamOptions `json:"stream_options"`
	MaxTokens     int            `json:"max_tokens"`
	// MaxCompletionTokens is the newer name of MaxTokens.
	MaxCompletionTokens int    `json:"max_completion_tokens"`
	User                string `json:"user"`
	// PromptCacheKey, when given, names the chat for affinity.
	PromptCacheKey string `json:"prompt_cache_key"`
}

// StreamOptions is the OpenAI object of that name.
type StreamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// ChatMessage is one message; content may be a string or a list of parts.
type ChatMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// ParseChat reads the known fields and checks that there is something to do.
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

// Limit is the most tokens the caller wants; zero when not said.
func (c *ChatBody) Limit() int {
	if c.MaxCompletionTokens > 0 {
		return c.MaxCompletionTokens
	}
	return c.MaxTokens
}

// Text is a message's content as plain text.
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
