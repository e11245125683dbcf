// Package fakeweights is a small stand-in for the platform's weight store: it
// gives a model's weights, at a limited rate.
package fakeweights

import (
	"net/http"
	"sync"

	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"
)

// ErrRate is what a fetch over the limit meets.
var ErrRate = errors.New("weight store's rate is exceeded")

// Weights is the stand-in.
type Weights struct {
	limiter *rate.Limiter

	mu      sync.Mutex
	fetched map[string]int
	refused int
}

// New returns a store that bears so many fetches a second.
func New(perSecond float64) *Weights {
	return &Weights{limiter: rate.NewLimiter(rate.Limit(perSecond), 1), fetched: make(map[string]int)}
}

// Fetch gives a model's weights, of which nothing is kept but the count.
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

// Refused counts the fetches over the limit.
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
