package dev

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m,
		// Idle keep-alive connections of the callers' http.DefaultClient.
		goleak.IgnoreAnyFunction("net/http.(*persistConn).readLoop"),
		goleak.IgnoreAnyFunction("net/http.(*persistConn).writeLoop"),
	)
}

// startTimeout is generous because it only detects a hang; it doesn't check the speed.
const startTimeout = 2 * time.Minute

func startStack(t testing.TB) *Stack {
	is := is.New(t)
	stack, err := New(t.Context(), Options{Callers: "127.0.0.1:0", Log: log.New(io.Discard)})
	is.NoErr(err)
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	is.NoErr(stack.Start(ctx))
	t.Cleanup(func() { is.NoErr(stack.Close()) })
	return stack
}

func TestStorySucceeds(t *testing.T) {
	stack := startStack(t)
	for _, step := range RunStory(t.Context(), stack) {
		if !step.Held {
			t.Errorf("%s: %s", step.Name, step.Seen)
		}
	}
}

// TestPublishedClient checks that a published OpenAI client works unchanged.
func TestPublishedClient(t *testing.T) {
	is := is.New(t)
	stack := startStack(t)
	client := openai.NewClient(
		option.WithBaseURL("http://"+stack.Routers[0].Addresses().Callers+"/v1"),
		option.WithAPIKey(Key),
	)
	question := openai.ChatCompletionNewParams{
		Model:     Model,
		Messages:  []openai.ChatCompletionMessageParamUnion{openai.UserMessage("what is my balance?")},
		MaxTokens: openai.Int(7),
	}
	completion, err := client.Chat.Completions.New(t.Context(), question)
	is.NoErr(err)
	is.Equal(completion.Choices[0].FinishReason, "length")
	is.Equal(completion.Usage.CompletionTokens, int64(7))

	stream := client.Chat.Completions.NewStreaming(t.Context(), question)
	accumulator := openai.ChatCompletionAccumulator{}
	for stream.Next() {
		accumulator.AddChunk(stream.Current())
	}
	is.NoErr(stream.Err())
	is.Equal(accumulator.Choices[0].Message.Content, completion.Choices[0].Message.Content)

	models, err := client.Models.List(t.Context())
	is.NoErr(err)
	is.Equal(models.Data[0].ID, Model)

	question.Model = "no-such-model"
	_, err = client.Chat.Completions.New(t.Context(), question)
	var refused *openai.Error
	is.True(errors.As(err, &refused))
	is.Equal(refused.StatusCode, 404)
	is.Equal(refused.Code, "unknown_model")
}
