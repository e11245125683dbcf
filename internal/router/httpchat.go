package router

import (
	"bytes"
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/capersaddle/capersaddle/internal/fault"
	"github.com/capersaddle/capersaddle/internal/target"
	"github.com/capersaddle/capersaddle/internal/wire"
)

func sortedKeys[V any](m map[string]V) []string {
	return slices.Sorted(maps.Keys(m))
}

// serveChatHTTP handles POST /v1/chat/completions.
func (r *Router) serveChatHTTP(w http.ResponseWriter, req *http.Request) {
	r.serveAdmitted(w, req, func(id string, client caller) (headersSent bool, err error) {
		return r.chatHTTP(w, req, id, client)
	})
}

// chatHTTP serves one chat. It also reports whether a part of the answer was sent.
func (r *Router) chatHTTP(w http.ResponseWriter, req *http.Request, id string, client caller) (headersSent bool, err error) {
	request, chat, refusal := r.readChat(w, req, id, client)
	if refusal != nil {
		writeError(w, id, refusal)
		return false, refusal
	}
	ctx, cancel, refusal := r.withTimeout(req)
	if refusal != nil {
		writeError(w, id, refusal)
		return false, refusal
	}
	defer cancel()
	writer := &chatWriter{
		w:            w,
		id:           id,
		model:        request.model,
		stream:       chat.Stream,
		includeUsage: chat.StreamOptions != nil && chat.StreamOptions.IncludeUsage,
		created:      time.Now().Unix(),
	}
	start := time.Now()
	onFirstPiece := func(from string) {
		w.Header().Set(HeaderPlacement, from)
		r.options.Metrics.First(client.workspace, className(client.settings), time.Since(start))
	}
	end, err := r.serveChat(ctx, request, onFirstPiece, writer)
	if err != nil {
		writer.fail(fault.From(err))
		return writer.headersSent, err
	}
	r.options.Metrics.Pieces(int(end.end.GetLength()))
	return writer.headersSent, writer.finish(end.end)
}

// readChat reads and validates the request.
func (r *Router) readChat(w http.ResponseWriter, req *http.Request, id string, client caller) (chatRequest, target.ChatBody, *fault.Error) {
	body, refusal := readBody(w, req, r.options.MaxBodyBytes)
	if refusal != nil {
		return chatRequest{}, target.ChatBody{}, refusal
	}
	chat, err := target.ParseChat(body)
	if err != nil {
		return chatRequest{}, chat, fault.New(fault.BadRequest, fault.NotRun, "%v", err)
	}
	model, ok := client.view.ModelFor(chat.Model)
	if !ok {
		return chatRequest{}, chat, fault.New(fault.UnknownModel, fault.NotRun, "model %q does not exist; GET /v1/models lists those that do", chat.Model)
	}
	if model != chat.Model {
		if body, err = replaceModel(body, model); err != nil {
			return chatRequest{}, chat, fault.New(fault.BadRequest, fault.NotRun, "%v", err)
		}
	}
	return chatRequest{
		id:         id,
		workspace:  client.workspace,
		share:      client.settings.Share,
		deferrable: client.settings.Deferrable,
		model:      model,
		body:       body,
		hash:       chatHash(client.workspace, &chat),
		returning:  isReturning(&chat),
		preferred:  req.Header.Get(HeaderPlacement),
	}, chat, nil
}

// replaceModel replaces the model's name by the one that its route selects.
func replaceModel(body []byte, model string) ([]byte, error) {
	fields := make(map[string]json.RawMessage)
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, err
	}
	name, err := json.Marshal(model)
	if err != nil {
		return nil, err
	}
	fields["model"] = name
	return json.Marshal(fields)
}

// chatWriter writes an answer in the OpenAI format, streamed or as one object.
type chatWriter struct {
	w            http.ResponseWriter
	id           string
	model        string
	stream       bool
	includeUsage bool
	created      int64
	// headersSent is true once the status line has been sent.
	headersSent bool
	text        strings.Builder
	// buffer is reused for each event; eventPrefix and eventSuffix are the JSON around a piece's
	// text.
	buffer, eventPrefix, eventSuffix []byte
}

func (c *chatWriter) head(*wire.Head) error {
	return nil
}

func (c *chatWriter) writeHeaders() {
	if c.headersSent {
		return
	}
	c.headersSent = true
	c.w.Header().Set("Content-Type", "text/event-stream")
	c.w.Header().Set("Cache-Control", "no-store")
	c.w.WriteHeader(http.StatusOK)
}

// data writes one event for each piece and flushes once.
func (c *chatWriter) data(data *wire.Data) error {
	if !c.stream {
		for _, piece := range data.GetPieces() {
			c.text.WriteString(piece)
		}
		return nil
	}
	c.writeHeaders()
	c.buffer = c.buffer[:0]
	for i, piece := range data.GetPieces() {
		if data.GetOffset()+int64(i) == 0 {
			c.appendEvent(c.chunk(target.ChunkDelta{Role: "assistant", Content: piece}, nil))
			continue
		}
		c.appendPiece(piece)
	}
	return c.flush()
}

// placeholder stands for a piece's text when the JSON around it is built.
const placeholder = "PIECE"

// appendPiece appends the event of one further piece. Everything but its text is the same
// for all events of an answer and is built only once.
func (c *chatWriter) appendPiece(piece string) {
	if c.eventPrefix == nil {
		frame, _ := json.Marshal(c.chunk(target.ChunkDelta{Content: placeholder}, nil))
		prefix, suffix, _ := bytes.Cut(frame, []byte(`"`+placeholder+`"`))
		c.eventPrefix = append([]byte("data: "), prefix...)
		c.eventSuffix = append(suffix, "\n\n"...)
	}
	text, err := json.Marshal(piece)
	if err != nil {
		return
	}
	c.buffer = append(c.buffer, c.eventPrefix...)
	c.buffer = append(c.buffer, text...)
	c.buffer = append(c.buffer, c.eventSuffix...)
}

func (c *chatWriter) chunk(delta target.ChunkDelta, finish *string) target.Chunk {
	return target.Chunk{
		ID:      "chatcmpl-" + c.id,
		Object:  "chat.completion.chunk",
		Created: c.created,
		Model:   c.model,
		Choices: []target.ChunkChoice{{Delta: delta, FinishReason: finish}},
	}
}

func (c *chatWriter) appendEvent(value any) {
	data, err := json.Marshal(value)
	if err != nil {
		return
	}
	c.buffer = append(c.buffer, "data: "...)
	c.buffer = append(c.buffer, data...)
	c.buffer = append(c.buffer, "\n\n"...)
}

func (c *chatWriter) flush() error {
	if _, err := c.w.Write(c.buffer); err != nil {
		return err
	}
	return http.NewResponseController(c.w).Flush()
}

// finish ends a complete answer.
func (c *chatWriter) finish(end *wire.End) error {
	usage := target.UsageObject(target.Usage{
		PromptTokens:     end.GetPromptTokens(),
		CompletionTokens: end.GetCompletionTokens(),
		CachedTokens:     end.GetCachedTokens(),
	})
	reason := end.GetFinishReason()
	if !c.stream {
		return c.writeCompletion(reason, usage)
	}
	c.writeHeaders()
	c.buffer = c.buffer[:0]
	c.appendEvent(c.chunk(target.ChunkDelta{}, &reason))
	if c.includeUsage {
		last := c.chunk(target.ChunkDelta{}, nil)
		last.Choices = []target.ChunkChoice{}
		last.Usage = usage
		c.appendEvent(last)
	}
	c.buffer = append(c.buffer, "data: [DONE]\n\n"...)
	return c.flush()
}

// completion is a complete answer in the OpenAI format.
type completion struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Created int64              `json:"created"`
	Model   string             `json:"model"`
	Choices []completionChoice `json:"choices"`
	Usage   *target.ChunkUsage `json:"usage"`
}

type completionChoice struct {
	Index        int               `json:"index"`
	Message      completionMessage `json:"message"`
	FinishReason string            `json:"finish_reason"`
}

type completionMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

func (c *chatWriter) writeCompletion(reason string, usage *target.ChunkUsage) error {
	c.w.Header().Set("Content-Type", "application/json")
	c.w.Header().Set(HeaderRunState, string(fault.Ran))
	return json.NewEncoder(c.w).Encode(completion{
		ID:      "chatcmpl-" + c.id,
		Object:  "chat.completion",
		Created: c.created,
		Model:   c.model,
		Choices: []completionChoice{{
			Message:      completionMessage{Role: "assistant", Content: c.text.String()},
			FinishReason: reason,
		}},
		Usage: usage,
	})
}

// fail ends with an error. A stream that has begun gets an error event and no [DONE], so
// that it never looks complete.
func (c *chatWriter) fail(failure *fault.Error) {
	if !c.headersSent {
		writeError(c.w, c.id, failure)
		return
	}
	c.buffer = c.buffer[:0]
	c.appendEvent(newErrorBody(c.id, failure))
	_ = c.flush()
}
