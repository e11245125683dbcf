package fakeengine

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"github.com/go-chi/chi/v5"

	"github.com/capersaddle/capersaddle/internal/target"
)

// maxBody limits a request body, in bytes.
const maxBody = 8 << 20

// Handler serves the engine over HTTP in the form of the OpenAI API.
func (e *Engine) Handler() http.Handler {
	mux := chi.NewRouter()
	mux.Post("/v1/chat/completions", e.serveChat)
	mux.Get("/load", e.serveLoad)
	mux.Get("/events", e.serveEvents)
	mux.Post("/orders", e.serveOrder)
	mux.Post("/kv/export", e.serveExport)
	mux.Post("/kv/import", e.serveImport)
	mux.Post("/faults", e.serveFaults)
	return mux
}

func (e *Engine) serveChat(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	var extended struct {
		Capersaddle target.Extension `json:"capersaddle"`
	}
	if err := json.Unmarshal(body, &extended); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	extension := extended.Capersaddle
	generation, err := e.Generate(r.Context(), target.GenerateRequest{
		RequestID: extension.RequestID,
		Body:      body,
		Offset:    extension.Offset,
		Prefix:    extension.Prefix,
		Priority:  extension.Priority,
	})
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	defer func() { _ = generation.Close() }()
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	stream(w, extension.RequestID, generation)
}

// stream writes pieces as events; a cut stream breaks the connection.
func stream(w http.ResponseWriter, id string, generation target.Generation) {
	flusher := http.NewResponseController(w)
	_ = flusher.Flush()
	for {
		piece, err := generation.Next()
		if errors.Is(err, io.EOF) {
			_, _ = io.WriteString(w, "data: [DONE]\n\n")
			return
		}
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		writePiece(w, id, piece)
		_ = flusher.Flush()
	}
}

func writePiece(w io.Writer, id string, piece target.Piece) {
	chunk := target.Chunk{ID: id, Object: "chat.completion.chunk"}
	choice := target.ChunkChoice{Delta: target.ChunkDelta{Content: piece.Text}}
	if piece.Finish != "" {
		choice.FinishReason = &piece.Finish
		chunk.Usage = target.UsageObject(piece.Usage)
	}
	chunk.Choices = []target.ChunkChoice{choice}
	data, _ := json.Marshal(chunk)
	_, _ = fmt.Fprintf(w, "data: %s\n\n", data)
}

func (e *Engine) serveLoad(w http.ResponseWriter, r *http.Request) {
	report, _ := e.Load(r.Context())
	_ = json.NewEncoder(w).Encode(report)
}

func (e *Engine) serveEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	events, _ := e.CacheEvents(r.Context(), after)
	_ = json.NewEncoder(w).Encode(events)
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order target.Order
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(&order); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if err := e.Order(r.Context(), order); err != nil {
		http.Error(w, err.Error(), http.StatusConflict)
	}
}

func (e *Engine) serveExport(w http.ResponseWriter, r *http.Request) {
	var requestIDs []string
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(&requestIDs); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	_ = e.ExportKV(r.Context(), requestIDs, w)
}

func (e *Engine) serveImport(w http.ResponseWriter, r *http.Request) {
	if err := e.ImportKV(r.Context(), http.MaxBytesReader(w, r.Body, maxBody)); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
}

func (e *Engine) serveFaults(w http.ResponseWriter, r *http.Request) {
	var faults []Fault
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.Inject(faults...)
}
