package inbound

import (
	"net/http"

	"github.com/capersaddle/capersaddle/internal/socket"
)

// Abort ends a response in a way that can't look complete. The handler must return right after it.
func Abort(w http.ResponseWriter, r *http.Request) {
	if !endsWithConnection(w, r) {
		panic(http.ErrAbortHandler)
	}
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	socket.Reset(conn)
}

// endsWithConnection reports whether the end of the connection is the end of the response's body: to HTTP 1.0
// there are no chunks.
func endsWithConnection(w http.ResponseWriter, r *http.Request) bool {
	return !r.ProtoAtLeast(1, 1) && w.Header().Get("Content-Length") == ""
}
