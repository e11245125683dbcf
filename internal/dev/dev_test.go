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
		// The callers' own kept connections, of http.DefaultClient.
		goleak.IgnoreAnyFunction("net/http.(*persistConn).readLoop"),
		goleak.IgnoreAnyFunction("net/http.(*persistConn).writeLoop"),
	)
}

// startTimeout is generous: it bounds a hang, not the speed.
const startTimeout = 2 * time.Minute

func startStack(t testing.TB) *Stack {
	is := is.New(t)
	stack, err := New(Options{Callers: "127.0.0.1:0", Log: log.New(io.Discard)})
	is.NoErr(err)
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	is.NoErr(stack.Start(ctx))
	t.Cleanup(func() { is.NoErr(stack.Close()) })
	return stack
}

func TestStoryHolds(t *testing.T) {
	stack := startStack(t)
	for _, step := range RunStory(t.Context(), stack) {
		if !step.Held {
			t.Errorf("%s: %s", step.Name, step.Seen)
		}
	}
}

// A published OpenAI client works unchanged.
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
	whole, err := client.Chat.Completions.New(t.Context(), question)
	is.NoErr(err)
	is.Equal(whole.Choices[0].FinishReason, "length")
	is.Equal(whole.Usage.CompletionTokens, int64(7))

	stream := client.Chat.Completions.NewStreaming(t.Context(), question)
	sum := openai.ChatCompletionAccumulator{}
	for stream.Next() {
		sum.AddChunk(stream.Current())
	}
	is.NoErr(stream.Err())
	is.Equal(sum.Choices[0].Message.Content, whole.Choices[0].Message.Content)

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
