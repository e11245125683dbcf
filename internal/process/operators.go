package process

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/capersaddle/capersaddle/internal/config"
	"github.com/capersaddle/capersaddle/internal/fault"
	"github.com/capersaddle/capersaddle/internal/member"
	"github.com/capersaddle/capersaddle/internal/secure"
)

// maxCommandBytes limits the body of an operator's request.
const maxCommandBytes = 1 << 20

// operators serves the HTTP API for operators and their tools.
type operators struct {
	*common
	// editor is nil on agents, which accept no commands.
	editor *config.Editor
	ready  func() bool
	// routedTargets counts the targets that a router sends requests to; nil on agents.
	routedTargets func() int
}

// Status is the state of a process.
type Status struct {
	ID             string `json:"id"`
	Role           string `json:"role"`
	DataCenter     string `json:"data_center"`
	Ready          bool   `json:"ready"`
	ConfigRevision uint64 `json:"config_revision"`
	StoreSeen      bool   `json:"store_seen"`
	Members        int    `json:"members"`
	// RoutedTargets counts the targets that a router sends requests to.
	RoutedTargets int `json:"routed_targets,omitempty"`
}

// OperatorError is the body of the answer to a failed call.
type OperatorError struct {
	Kind         fault.Kind     `json:"kind"`
	Message      string         `json:"message"`
	RunState     fault.RunState `json:"run_state"`
	RetryAfterMS int64          `json:"retry_after_ms,omitempty"`
}

func (o *operators) handler() http.Handler {
	mux := chi.NewRouter()
	mux.Get("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.Get("/readyz", o.serveReady)
	mux.Handle("/metrics", promhttp.HandlerFor(o.registry, promhttp.HandlerOpts{}))
	mux.Route("/operator/v1", func(api chi.Router) {
		api.Use(o.authorize)
		operatorAPI := api.With(o.requireRole(secure.RoleOperate, secure.RoleAdminister))
		adminAPI := api.With(o.requireRole(secure.RoleAdminister))
		api.Get("/status", o.serveStatus)
		api.Get("/members", o.serveMembers)
		api.Get("/documents", o.serveDocuments)
		api.Post("/query", o.serveQuery)
		if o.editor != nil {
			api.Get("/history", o.serveHistory)
			operatorAPI.Post("/command", o.serveCommand)
			operatorAPI.Post("/exec", o.serveExec)
			adminAPI.Post("/republish", o.serveRepublish)
			adminAPI.Post("/release", o.serveRelease)
		}
	})
	return mux
}

// authorize checks the operators' key if the settings name one.
func (o *operators) authorize(next http.Handler) http.Handler {
	expected := o.settings.OperatorKeyHash
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		sum := sha256.Sum256([]byte(strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer ")))
		given := hex.EncodeToString(sum[:])
		if expected != "" && subtle.ConstantTimeCompare([]byte(given), []byte(expected)) != 1 {
			writeFault(w, fault.New(fault.BadKey, fault.NotRun, "operator key is missing or wrong"))
			return
		}
		next.ServeHTTP(w, r)
	})
}

// requireRole requires one of the roles in the caller's certificate, if the operators' address
// uses TLS.
func (o *operators) requireRole(roles ...string) func(http.Handler) http.Handler {
	return func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.TLS != nil && !secure.HasRole(*r.TLS, roles...) {
				writeFault(w, fault.New(fault.Forbidden, fault.NotRun, "a client certificate with one of these roles is required: %s", strings.Join(roles, ", ")))
				return
			}
			next.ServeHTTP(w, r)
		})
	}
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

func writeFault(w http.ResponseWriter, err error) {
	failure := fault.From(err)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(fault.AnswerOf(failure.Kind).Status)
	_ = json.NewEncoder(w).Encode(OperatorError{
		Kind:         failure.Kind,
		Message:      failure.Message,
		RunState:     failure.State,
		RetryAfterMS: failure.RetryAfter.Milliseconds(),
	})
}

func (o *operators) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !o.ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (o *operators) serveStatus(w http.ResponseWriter, _ *http.Request) {
	routedTargets := 0
	if o.routedTargets != nil {
		routedTargets = o.routedTargets()
	}
	writeJSON(w, Status{
		RoutedTargets:  routedTargets,
		ID:             o.settings.ID,
		Role:           o.settings.Role,
		DataCenter:     o.settings.DataCenter,
		Ready:          o.ready(),
		ConfigRevision: o.node.Config.Revision(),
		StoreSeen:      o.node.Follower.StoreAnswered(),
		Members:        len(o.node.Members.Roster()),
	})
}

// MemberRow is one member as shown to operators.
type MemberRow struct {
	ID         string      `json:"id"`
	Role       string      `json:"role"`
	DataCenter string      `json:"data_center"`
	Standing   string      `json:"standing"`
	Leaving    bool        `json:"leaving"`
	Steady     bool        `json:"steady"`
	Targets    []TargetRow `json:"targets,omitempty"`
	// LoadAgeMS is the age of the last load report, in milliseconds.
	LoadAgeMS int64 `json:"heard_ms"`
}

// TargetRow is one target as shown to operators.
type TargetRow struct {
	ID       string `json:"id"`
	Pool     string `json:"pool"`
	Leaving  bool   `json:"leaving"`
	InFlight uint32 `json:"in_flight"`
	Limit    uint32 `json:"limit"`
}

func (o *operators) serveMembers(w http.ResponseWriter, _ *http.Request) {
	rows := []MemberRow{}
	for _, peer := range o.node.Members.Peers() {
		rows = append(rows, memberRow(peer))
	}
	writeJSON(w, rows)
}

func memberRow(peer member.Peer) MemberRow {
	row := MemberRow{
		ID:         peer.ID,
		Role:       peer.Role,
		DataCenter: peer.DataCenter,
		Standing:   strings.ToLower(strings.TrimPrefix(peer.Standing.String(), "STANDING_")),
		Leaving:    peer.Leaving,
		Steady:     peer.Steady,
		LoadAgeMS:  min(peer.LoadAge, time.Hour).Milliseconds(),
	}
	for _, target := range peer.Targets {
		row.Targets = append(row.Targets, TargetRow{
			ID:       target.ID,
			Pool:     target.Pool,
			Leaving:  target.Leaving,
			InFlight: target.Load.InFlight,
			Limit:    target.Load.Limit,
		})
	}
	return row
}

// Documents is the configuration in force at one process.
type Documents struct {
	Revision  uint64            `json:"revision"`
	Documents []config.Document `json:"documents"`
}

func (o *operators) serveDocuments(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, Documents{Revision: o.node.Config.Revision(), Documents: o.node.Config.Documents()})
}

func (o *operators) serveHistory(w http.ResponseWriter, r *http.Request) {
	history, err := o.editor.History(r.Context())
	if err != nil {
		writeFault(w, err)
		return
	}
	writeJSON(w, history)
}

func (o *operators) serveCommand(w http.ResponseWriter, r *http.Request) {
	var command config.Command
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxCommandBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&command); err != nil {
		writeFault(w, fault.New(fault.BadRequest, fault.NotRun, "cannot read the command: %v", err))
		return
	}
	result, err := o.execute(r, command)
	o.log.Info("command", "id", command.ID, "who", command.Operator, "revision", result.Revision, "error", err)
	if err != nil {
		writeFault(w, err)
		return
	}
	writeJSON(w, result)
}

// fetchConfig applies an accepted command at this process. If the store no longer answers,
// watching it brings the change later.
func (o *operators) fetchConfig(r *http.Request) {
	if err := o.node.Follower.Fetch(r.Context()); err != nil {
		o.log.Warn("could not read the accepted configuration back from the store", "error", err)
	}
}

func (o *operators) serveRepublish(w http.ResponseWriter, r *http.Request) {
	var command config.Command
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxCommandBytes)).Decode(&command); err != nil || command.ID == "" {
		writeFault(w, fault.New(fault.BadRequest, fault.NotRun, "the command has no id"))
		return
	}
	result, err := o.editor.Republish(r.Context(), command.ID, command.Operator)
	if err != nil {
		writeFault(w, err)
		return
	}
	o.fetchConfig(r)
	writeJSON(w, result)
}
