// Package fakeweights is a small fake of the platform's weight store: it serves a model's
// weights at a limited rate.
package fakeweights

import (
	"net/http"
	"sync"

	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"
)

// ErrRate is the error of a fetch over the limit.
var ErrRate = errors.New("weight store's rate limit is exceeded")

// Weights is the fake weight store.
type Weights struct {
	limiter *rate.Limiter

	mu      sync.Mutex
	fetched map[string]int
	refused int
}

// New returns a store that allows a number of fetches per second.
func New(perSecond float64) *Weights {
	return &Weights{limiter: rate.NewLimiter(rate.Limit(perSecond), 1), fetched: make(map[string]int)}
}

// Fetch counts a fetch of a model's weights; it transfers no data.
func (w *Weights) Fetch(model string) error {
	allowed := w.limiter.Allow()
	w.mu.Lock()
	defer w.mu.Unlock()
	if !allowed {
		w.refused++
		return ErrRate
	}
	w.fetched[model]++
	return nil
}

// Refused returns the number of fetches over the limit.
func (w *Weights) Refused() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.refused
}

// Handler serves GET /v1/weights/{model}.
func (w *Weights) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/weights/{model}", func(out http.ResponseWriter, r *http.Request) {
		if err := w.Fetch(r.PathValue("model")); err != nil {
			http.Error(out, err.Error(), http.StatusTooManyRequests)
		}
	})
	return mux
}
