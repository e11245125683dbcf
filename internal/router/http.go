package router

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-chi/chi/v5"
	"github.com/google/uuid"

	"github.com/capersaddle/capersaddle/internal/config"
	"github.com/capersaddle/capersaddle/internal/fault"
	"github.com/capersaddle/capersaddle/internal/inbound"
)

// Headers of the HTTP API.
const (
	HeaderRunState  = "Capersaddle-Run-State"
	HeaderRequestID = "Capersaddle-Request-Id"
	HeaderPlacement = "Capersaddle-Placement"
	HeaderTimeout   = "Capersaddle-Timeout"
	HeaderSettle    = "Capersaddle-Settle"
	HeaderReplayed  = "Capersaddle-Replayed"
	HeaderKey       = "Idempotency-Key"
)

// errorBody is an error in the OpenAI format with the run state added.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message  string         `json:"message"`
	Type     string         `json:"type"`
	Code     string         `json:"code"`
	RunState fault.RunState `json:"run_state"`
	// RetryAfterMS is the delay before a retry, in milliseconds.
	RetryAfterMS int64  `json:"retry_after_ms,omitempty"`
	RequestID    string `json:"request_id,omitempty"`
}

// Handler returns the HTTP API for callers.
func (r *Router) Handler() http.Handler {
	mux := chi.NewRouter()
	mux.Use(r.closeConnections)
	mux.Get("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.Get("/readyz", r.serveReady)
	mux.Get("/v1/models", r.serveModels)
	mux.Post("/v1/chat/completions", r.serveChatHTTP)
	mux.Handle("/v1/services/{service}/*", http.HandlerFunc(r.serveServiceHTTP))
	mux.NotFound(func(w http.ResponseWriter, _ *http.Request) {
		writeError(w, "", fault.New(fault.BadRequest, fault.NotRun, "no such path; see /v1/models, /v1/chat/completions and /v1/services/"))
	})
	return mux
}

// closeConnections makes the answers of a stopping router end their connections, so that callers
// connect to another one.
func (r *Router) closeConnections(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if r.stop.Begun() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, req)
	})
}

// Ready reports whether the router may be given requests.
func (r *Router) Ready() bool {
	return !r.stop.Begun() && !r.Draining() && r.options.Config.Revision() > 0
}

func (r *Router) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !r.Ready() {
		writeError(w, "", fault.New(fault.NotReady, fault.NotRun, "the router is draining or has no configuration yet").After(time.Second))
		return
	}
	w.WriteHeader(http.StatusOK)
}

// writeError responds with an error when no part of an answer has been sent.
func writeError(w http.ResponseWriter, id string, failure *fault.Error) {
	row := fault.AnswerOf(failure.Kind)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(HeaderRunState, string(failure.State))
	if failure.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(ceilSeconds(failure.RetryAfter)))
	}
	w.WriteHeader(row.Status)
	_ = json.NewEncoder(w).Encode(newErrorBody(id, failure))
}

func ceilSeconds(d time.Duration) int {
	return int((d + time.Second - 1) / time.Second)
}

func newErrorBody(id string, failure *fault.Error) errorBody {
	return errorBody{Error: errorDetail{
		Message:      failure.Message,
		Type:         fault.AnswerOf(failure.Kind).Type,
		Code:         string(failure.Kind),
		RunState:     failure.State,
		RetryAfterMS: failure.RetryAfter.Milliseconds(),
		RequestID:    id,
	}}
}

// caller is the authenticated sender of a request.
type caller struct {
	workspace string
	settings  config.Workspace
	view      *config.View
}

// admit authenticates the caller and counts the request as in flight. The returned
// function releases it.
func (r *Router) admit(req *http.Request) (caller, func(), *fault.Error) {
	r.inFlight.Add(1)
	release := func() { r.inFlight.Done() }
	if r.Draining() {
		release()
		return caller{}, nil, drainingError()
	}
	client, refusal := r.authenticate(req)
	if refusal != nil {
		release()
		return caller{}, nil, refusal
	}
	if !r.limiter.acquire(client.workspace, client.settings.MaxInFlight) {
		release()
		return caller{}, nil, fault.New(fault.Overloaded, fault.NotRun, "the workspace has %d requests in flight here already", client.settings.MaxInFlight).After(time.Second)
	}
	return client, func() {
		r.limiter.release(client.workspace)
		release()
	}, nil
}

func (r *Router) authenticate(req *http.Request) (caller, *fault.Error) {
	key, ok := strings.CutPrefix(req.Header.Get("Authorization"), "Bearer ")
	if !ok || key == "" {
		return caller{}, fault.New(fault.BadKey, fault.NotRun, "no API key; send 'Authorization: Bearer KEY'")
	}
	view := r.options.Config.View()
	name, settings, ok := view.WorkspaceByKey(key)
	if !ok {
		return caller{}, fault.New(fault.BadKey, fault.NotRun, "the API key is unknown")
	}
	return caller{workspace: name, settings: settings, view: view}, nil
}

// withTimeout limits the request's context by the shorter of the router's and the
// caller's timeout.
func (r *Router) withTimeout(req *http.Request) (context.Context, context.CancelFunc, *fault.Error) {
	timeout := r.options.Timeout
	if text := req.Header.Get(HeaderTimeout); text != "" {
		wanted, err := time.ParseDuration(text)
		if err != nil || wanted <= 0 {
			return nil, nil, fault.New(fault.BadRequest, fault.NotRun, "header %s is %q; want a duration such as 20s", HeaderTimeout, text)
		}
		timeout = min(timeout, wanted)
	}
	ctx, cancel := context.WithTimeout(req.Context(), timeout)
	return ctx, cancel, nil
}

// readBody reads a request's body of at most maxBytes.
func readBody(w http.ResponseWriter, req *http.Request, maxBytes int64) ([]byte, *fault.Error) {
	body, err := io.ReadAll(http.MaxBytesReader(w, req.Body, maxBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, fault.New(fault.TooLarge, fault.NotRun, "the body is larger than %d bytes", maxBytes)
	}
	if err != nil {
		return nil, fault.New(fault.BadRequest, fault.NotRun, "the body could not be read: %v", err)
	}
	return body, nil
}

func newRequestID() string {
	return "req-" + uuid.NewString()
}

func className(settings config.Workspace) string {
	if settings.Deferrable {
		return "deferrable"
	}
	return "urgent"
}

// serveAdmitted serves a request of an admitted caller and records its end. The function that it
// calls also reports whether a part of the answer was sent.
func (r *Router) serveAdmitted(w http.ResponseWriter, req *http.Request, serve func(id string, client caller) (headersSent bool, err error)) {
	id := newRequestID()
	w.Header().Set(HeaderRequestID, id)
	client, release, refusal := r.admit(req)
	if refusal != nil {
		writeError(w, id, refusal)
		return
	}
	defer release()
	start := time.Now()
	headersSent, err := serve(id, client)
	r.finishRequest(id, client, start, err)
	if err != nil && headersSent {
		// Abort the connection: a client that checks little could take an answer that simply ends
		// for a complete one.
		inbound.Abort(w, req)
	}
}

// finishRequest records a request's end in the metrics and the log.
func (r *Router) finishRequest(id string, client caller, start time.Time, err error) {
	kind := ""
	if err != nil {
		kind = string(fault.KindOf(err))
	}
	r.options.Metrics.Request(client.workspace, className(client.settings), kind, time.Since(start))
	if err != nil {
		failure := fault.From(err)
		r.log.Info("request failed", "request", id, "workspace", client.workspace, "kind", kind, "run_state", failure.State, "error", failure.Message)
		return
	}
	r.log.Debug("request answered", "request", id, "workspace", client.workspace)
}

type modelList struct {
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
}

type modelEntry struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

func (r *Router) serveModels(w http.ResponseWriter, req *http.Request) {
	client, refusal := r.authenticate(req)
	if refusal != nil {
		writeError(w, "", refusal)
		return
	}
	list := modelList{Object: "list", Data: []modelEntry{}}
	for _, name := range sortedKeys(client.view.Models) {
		owner := client.view.Models[name].OwnedBy
		if owner == "" {
			owner = "capersaddle"
		}
		list.Data = append(list.Data, modelEntry{ID: name, Object: "model", OwnedBy: owner})
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(list)
}
