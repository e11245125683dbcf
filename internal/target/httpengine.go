package target

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"iter"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"
	"github.com/tmaxmax/go-sse"
)

const (
	// maxEvent limits one event of an engine's stream, in bytes.
	maxEvent = 1 << 20
	// doneEvent is the data of the event that ends a complete stream.
	doneEvent = "[DONE]"
)

// Extension holds the fields that the adapter adds to the caller's JSON for the engine.
type Extension struct {
	RequestID string `json:"request_id"`
	Offset    int64  `json:"offset,omitempty"`
	Prefix    string `json:"prefix,omitempty"`
	Priority  int32  `json:"priority,omitempty"`
}

// Chunk is one event of an OpenAI completion stream.
type Chunk struct {
	ID      string        `json:"id"`
	Object  string        `json:"object"`
	Created int64         `json:"created"`
	Model   string        `json:"model"`
	Choices []ChunkChoice `json:"choices"`
	Usage   *ChunkUsage   `json:"usage,omitempty"`
}

// ChunkChoice is the only choice of a chunk.
type ChunkChoice struct {
	Index        int        `json:"index"`
	Delta        ChunkDelta `json:"delta"`
	FinishReason *string    `json:"finish_reason"`
}

// ChunkDelta holds the text that a chunk adds.
type ChunkDelta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// ChunkUsage is the OpenAI usage object.
type ChunkUsage struct {
	PromptTokens        int64         `json:"prompt_tokens"`
	CompletionTokens    int64         `json:"completion_tokens"`
	TotalTokens         int64         `json:"total_tokens"`
	PromptTokensDetails CachedDetails `json:"prompt_tokens_details"`
}

// CachedDetails counts the prompt tokens served from the prefix cache.
type CachedDetails struct {
	CachedTokens int64 `json:"cached_tokens"`
}

// UsageObject converts a Usage to the OpenAI usage object.
func UsageObject(usage Usage) *ChunkUsage {
	return &ChunkUsage{
		PromptTokens:        usage.PromptTokens,
		CompletionTokens:    usage.CompletionTokens,
		TotalTokens:         usage.PromptTokens + usage.CompletionTokens,
		PromptTokensDetails: CachedDetails{CachedTokens: usage.CachedTokens},
	}
}

// HTTPEngine is a client of an engine that serves the OpenAI API over HTTP.
type HTTPEngine struct {
	// Base is the engine's address, http://IP:port.
	Base   string
	Client *http.Client
}

// Generate starts one completion. It always requests a stream.
func (e *HTTPEngine) Generate(ctx context.Context, request GenerateRequest) (Generation, error) {
	body, err := withExtension(request)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	response, err := e.post(ctx, "/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		cancel()
		return nil, err
	}
	next, stop := iter.Pull2(sse.Read(response.Body, &sse.ReadConfig{MaxEventSize: maxEvent}))
	return &httpGeneration{
		cancel: cancel,
		body:   response.Body,
		next:   next,
		stop:   stop,
		index:  request.Offset,
	}, nil
}

// withExtension adds the adapter's fields to the caller's JSON.
func withExtension(request GenerateRequest) ([]byte, error) {
	fields := make(map[string]json.RawMessage)
	if err := json.Unmarshal(request.Body, &fields); err != nil {
		return nil, errors.Wrap(err, "read request body")
	}
	extension, err := json.Marshal(Extension{
		RequestID: request.RequestID,
		Offset:    request.Offset,
		Prefix:    request.Prefix,
		Priority:  request.Priority,
	})
	if err != nil {
		return nil, errors.Wrap(err, "write extension")
	}
	fields["stream"] = json.RawMessage("true")
	fields["stream_options"] = json.RawMessage(`{"include_usage":true}`)
	fields["capersaddle"] = extension
	return json.Marshal(fields)
}

func (e *HTTPEngine) post(ctx context.Context, path string, body io.Reader) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, e.Base+path, body)
	if err != nil {
		return nil, errors.Wrap(err, "make request")
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := withoutRedirects(e.Client).Do(request)
	if err != nil {
		return nil, errors.Wrap(err, "call engine")
	}
	if response.StatusCode == http.StatusOK {
		return response, nil
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(io.LimitReader(response.Body, maxErrorText))
	if err != nil {
		// What broke off says nothing of whether the request ran.
		return nil, errors.Wrapf(err, "read the engine's answer %d", response.StatusCode)
	}
	refused := errors.Wrapf(ErrRefused, "engine answered %d: %s", response.StatusCode, text)
	if retryAfter := retryAfterOf(response); retryAfter > 0 {
		return nil, &RetryAfterError{RetryAfter: retryAfter, Err: refused}
	}
	return nil, refused
}

// maxErrorText limits how much of an error body is kept, in bytes.
const maxErrorText = 512

// get requests a path and decodes the JSON response.
func (e *HTTPEngine) get(ctx context.Context, path string, into any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, e.Base+path, nil)
	if err != nil {
		return errors.Wrap(err, "make request")
	}
	response, err := e.Client.Do(request)
	if err != nil {
		return errors.Wrap(err, "call engine")
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return errors.Newf("engine answered %d to %s", response.StatusCode, path)
	}
	err = json.NewDecoder(io.LimitReader(response.Body, maxEvent)).Decode(into)
	return errors.Wrap(err, "read engine's answer")
}

// Load requests the engine's load report.
func (e *HTTPEngine) Load(ctx context.Context) (LoadReport, error) {
	var report LoadReport
	err := e.get(ctx, "/load", &report)
	return report, err
}

// CacheEvents requests the cache events that follow a sequence number.
func (e *HTTPEngine) CacheEvents(ctx context.Context, after uint64) (CacheEvents, error) {
	var events CacheEvents
	err := e.get(ctx, "/events?after="+strconv.FormatUint(after, 10), &events)
	return events, err
}

// Order sends an order with its fencing token.
func (e *HTTPEngine) Order(ctx context.Context, order Order) error {
	body, err := json.Marshal(order)
	if err != nil {
		return errors.Wrap(err, "write order")
	}
	response, err := e.post(ctx, "/orders", bytes.NewReader(body))
	if err != nil {
		return err
	}
	return response.Body.Close()
}

// ExportKV copies the cached prefixes of requests from the engine.
func (e *HTTPEngine) ExportKV(ctx context.Context, requestIDs []string, into io.Writer) error {
	body, err := json.Marshal(requestIDs)
	if err != nil {
		return errors.Wrap(err, "write request ids")
	}
	response, err := e.post(ctx, "/kv/export", bytes.NewReader(body))
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(into, response.Body)
	return errors.Wrap(err, "read export")
}

// ImportKV sends the engine prefixes that another engine has exported.
func (e *HTTPEngine) ImportKV(ctx context.Context, from io.Reader) error {
	response, err := e.post(ctx, "/kv/import", from)
	if err != nil {
		return err
	}
	return response.Body.Close()
}

// httpGeneration reads the events of one completion.
type httpGeneration struct {
	cancel context.CancelFunc
	body   io.ReadCloser
	next   func() (sse.Event, error, bool)
	stop   func()
	index  int64
	// lastPiece holds the piece with Finish until its usage arrives.
	lastPiece *Piece
	done      bool
}

// Next reads events until one of them yields a piece.
func (g *httpGeneration) Next() (Piece, error) {
	if g.done {
		return Piece{}, io.EOF
	}
	for {
		event, err, ok := g.next()
		if err != nil {
			return Piece{}, errors.Wrapf(ErrCut, "read engine stream: %v", err)
		}
		if !ok {
			return Piece{}, errors.Wrap(ErrCut, "engine stream ended early")
		}
		if event.Data == doneEvent {
			return g.finish()
		}
		piece, ready, err := g.readChunk(event.Data)
		if err != nil || ready {
			return piece, err
		}
	}
}

// readChunk reads one chunk; ready reports whether it yielded a piece to return now.
func (g *httpGeneration) readChunk(data string) (piece Piece, ready bool, err error) {
	var chunk Chunk
	if err := json.Unmarshal([]byte(data), &chunk); err != nil {
		return Piece{}, false, errors.Wrapf(ErrCut, "unreadable chunk: %v", err)
	}
	if len(chunk.Choices) > 0 {
		piece, ready = g.readChoice(chunk.Choices[0])
	}
	if chunk.Usage != nil && g.lastPiece != nil {
		g.lastPiece.Usage = Usage{
			PromptTokens:     chunk.Usage.PromptTokens,
			CompletionTokens: chunk.Usage.CompletionTokens,
			CachedTokens:     chunk.Usage.PromptTokensDetails.CachedTokens,
		}
	}
	return piece, ready, nil
}

// readChoice makes a piece of a chunk's text, and stores the one with Finish.
func (g *httpGeneration) readChoice(choice ChunkChoice) (piece Piece, ready bool) {
	if choice.Delta.Content != "" {
		piece = Piece{Index: g.index, Text: choice.Delta.Content}
		g.index++
		ready = true
	}
	if choice.FinishReason != nil {
		g.lastPiece = &Piece{Index: g.index, Finish: *choice.FinishReason}
	}
	return piece, ready
}

func (g *httpGeneration) finish() (Piece, error) {
	if g.lastPiece == nil {
		return Piece{}, errors.Wrap(ErrCut, "stream closed without finish_reason")
	}
	g.done = true
	return *g.lastPiece, nil
}

// Close cancels the request and frees the connection.
func (g *httpGeneration) Close() error {
	g.cancel()
	g.stop()
	return g.body.Close()
}
