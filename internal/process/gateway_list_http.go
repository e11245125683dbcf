package process

import "net/http"

// listHandler answers with a list of what is called things, as JSON.
func listHandler[T any](things string, list func() []T) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodGet && r.Method != http.MethodHead {
			w.Header().Set("Allow", "GET, HEAD")
			http.Error(w, things+" are read with GET", http.StatusMethodNotAllowed)
			return
		}
		// An empty list, not null, where nothing is known.
		writeJSON(w, append([]T{}, list()...))
	})
}
