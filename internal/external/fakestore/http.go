package fakestore

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"

	"github.com/cockroachdb/errors"
	"github.com/go-chi/chi/v5"

	"github.com/capersaddle/capersaddle/internal/external"
)

// Handler serves the store over HTTP, and POST /fault to switch faults on and off: {"away":
// true}.
func (s *Store) Handler() http.Handler {
	mux := chi.NewRouter()
	mux.Get("/v1/kv/{key}", s.serveGet)
	mux.Put("/v1/kv/{key}", s.servePut)
	mux.Delete("/v1/kv/{key}", s.serveDelete)
	mux.Post("/fault", s.serveFault)
	return mux
}

func keyOf(r *http.Request) string {
	key, err := url.PathUnescape(chi.URLParam(r, "key"))
	if err != nil {
		return chi.URLParam(r, "key")
	}
	return key
}

func (s *Store) serveGet(w http.ResponseWriter, r *http.Request) {
	watch := r.URL.Query().Get("watch")
	if watch == "" {
		value, err := s.Get(r.Context(), keyOf(r))
		writeResult(w, value, err)
		return
	}
	known, err := strconv.ParseUint(watch, 10, 64)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	value, err := s.Watch(r.Context(), keyOf(r), known)
	writeResult(w, value, err)
}

func (s *Store) servePut(w http.ResponseWriter, r *http.Request) {
	base, err := strconv.ParseUint(r.URL.Query().Get("base"), 10, 64)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, external.MaxValue))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	version, err := s.Put(r.Context(), keyOf(r), data, base)
	writeResult(w, external.Value{Version: version}, err)
}

func (s *Store) serveDelete(w http.ResponseWriter, r *http.Request) {
	writeResult(w, external.Value{}, s.Delete(r.Context(), keyOf(r)))
}

func (s *Store) serveFault(w http.ResponseWriter, r *http.Request) {
	var fault struct {
		Away        bool `json:"away"`
		LoseAnswers int  `json:"lose_answers"`
	}
	if err := json.NewDecoder(r.Body).Decode(&fault); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetAway(fault.Away)
	s.LoseAnswers(fault.LoseAnswers)
}

func writeResult(w http.ResponseWriter, value external.Value, err error) {
	switch {
	case err == nil:
		w.Header().Set(external.VersionHeader, strconv.FormatUint(value.Version, 10))
		_, _ = w.Write(value.Data)
	case errors.Is(err, external.ErrNotFound):
		http.Error(w, err.Error(), http.StatusNotFound)
	case errors.Is(err, external.ErrVersion):
		http.Error(w, err.Error(), http.StatusPreconditionFailed)
	case errors.Is(err, ErrRate):
		http.Error(w, err.Error(), http.StatusTooManyRequests)
	case errors.Is(err, ErrLost), errors.Is(err, context.Canceled):
		panic(http.ErrAbortHandler)
	default:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	}
}
