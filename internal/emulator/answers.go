package emulator

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
)

// stamp is the signature of an answer.
func (s *Server) stamp(id string) string {
	return s.options.ID + "." + id
}

func (s *Server) answer(w http.ResponseWriter, r *http.Request, mode Mode, after int, slower float64) {
	switch mode {
	case Error:
		s.sayIn(w.Header(), http.StatusInternalServerError)
		w.WriteHeader(http.StatusInternalServerError)
		_, _ = io.WriteString(w, "the server's own failure")
		return
	case Busy:
		s.sayIn(w.Header(), http.StatusServiceUnavailable)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case Shed:
		w.Header().Del("X-Server-Stamp")
		w.Header().Set("X-Not-Executed", "1")
		s.sayIn(w.Header(), http.StatusServiceUnavailable)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case Early:
		w.Header().Set("X-Not-Executed", "1")
		s.sayIn(w.Header(), http.StatusServiceUnavailable)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case Mute:
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	case Encoded:
		w.Header().Set("Content-Encoding", "gzip")
	case Unsigned:
		w.Header().Del("X-Server-Stamp")
		_, _ = io.WriteString(w, "not the server's")
		return
	case ResetAfter, Unframed, EndInside, Foreign, Garbage:
		s.raw(w, mode)
		return
	}
	s.sayIn(w.Header(), http.StatusOK)
	if s.options.Events > 0 {
		s.stream(w, r, mode, after, slower)
		return
	}
	s.plain(w, mode)
}

// Body is the whole answer of a plain service.
const Body = "the whole answer of the server"

func (s *Server) plain(w http.ResponseWriter, mode Mode) {
	w.Header().Set("Content-Length", strconv.Itoa(len(Body)))
	if mode == CutMiddle {
		_, _ = io.WriteString(w, Body[:len(Body)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(w, Body)
}

// Event is the text of one event of a stream.
func Event(number int) string {
	return fmt.Sprintf("id: %d\ndata: piece %d\n\n", number, number)
}

func (s *Server) stream(w http.ResponseWriter, r *http.Request, mode Mode, after int, slower float64) {
	w.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	for number := after + 1; number <= s.options.Events; number++ {
		if mode == CutMiddle && number == after+1+(s.options.Events-after)/2 {
			_, _ = io.WriteString(w, Event(number)[:6])
			_ = control.Flush()
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(w, Event(number))
		_ = control.Flush()
		if !pause(r, times(s.options.Gap, slower)) {
			return
		}
	}
}

// raw takes the connection over and writes what HTTP libraries don't.
func (s *Server) raw(w http.ResponseWriter, mode Mode) {
	conn, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	id := w.Header().Get("X-Attempt-Id")
	said := ""
	if mode != ResetAfter && mode != Garbage {
		said = s.sayRaw(id)
	}
	switch mode {
	case ResetAfter:
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
	case Unframed, EndInside:
		body := s.whole()
		if mode == EndInside && s.options.Events > 0 {
			body = Event(1) + Event(2)[:6]
		}
		_, _ = fmt.Fprintf(buffered, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Server-Stamp: %s\r\n%s\r\n%s", id, s.stamp(id), said, body)
		_ = buffered.Flush()
	case Foreign:
		// The connection ends behind the second answer, which says so: a
		// request sent on it again might meet its end.
		const answer = "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Server-Stamp: %s\r\n%sConnection: %s\r\nContent-Length: %d\r\n\r\n%s"
		_, _ = fmt.Fprintf(buffered, answer, "another", s.stamp("another"), said, "keep-alive", len(s.whole()), s.whole())
		_, _ = fmt.Fprintf(buffered, answer, id, s.stamp(id), "", "close", len(s.whole()), s.whole())
		_ = buffered.Flush()
	case Garbage:
		_, _ = io.WriteString(buffered, "\x00\x01 no answer at all\r\n\r\n")
		_ = buffered.Flush()
	}
}

// whole is the body of a whole answer.
func (s *Server) whole() string {
	if s.options.Events == 0 {
		return Body
	}
	var text strings.Builder
	for number := 1; number <= s.options.Events; number++ {
		text.WriteString(Event(number))
	}
	return text.String()
}
