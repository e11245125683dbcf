package process

import "net/http"

// listHandler serves a list as JSON; plural names its items in error messages.
func listHandler[T any](plural string, list func() []T) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodGet && r.Method != http.MethodHead {
			w.Header().Set("Allow", "GET, HEAD")
			http.Error(w, plural+" are read with GET", http.StatusMethodNotAllowed)
			return
		}
		// Encode an empty list as [], not null.
		writeJSON(w, append([]T{}, list()...))
	})
}
