package emulator

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
)

// stamp returns the server's signature of a response.
func (s *Server) stamp(id string) string {
	return s.options.ID + "." + id
}

func (s *Server) answer(w http.ResponseWriter, r *http.Request, mode Mode, lastEventID int, slower float64) {
	switch mode {
	case Error:
		s.setNoticeHeaders(w.Header(), http.StatusInternalServerError)
		w.WriteHeader(http.StatusInternalServerError)
		_, _ = io.WriteString(w, "the server's own failure")
		return
	case Busy:
		s.setNoticeHeaders(w.Header(), http.StatusServiceUnavailable)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case Shed:
		w.Header().Del("X-Server-Stamp")
		w.Header().Set("X-Not-Executed", "1")
		s.setNoticeHeaders(w.Header(), http.StatusServiceUnavailable)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case Early:
		w.Header().Set("X-Not-Executed", "1")
		s.setNoticeHeaders(w.Header(), http.StatusServiceUnavailable)
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
	case ResetAfter, Unframed, EndInside, UnframedReset, EarlyReset, Foreign, Garbage:
		s.writeRaw(w, mode, lastEventID)
		return
	}
	if response, endless := s.endlessBytesOf(mode, w.Header().Get("X-Attempt-Id")); endless {
		writeEndless(w, response)
		return
	}
	s.setNoticeHeaders(w.Header(), http.StatusOK)
	if s.options.Events > 0 {
		s.writeStream(w, r, mode, lastEventID, slower)
		return
	}
	s.writePlain(w, mode)
}

// Body is the complete response body of a plain service.
const Body = "the whole answer of the server"

func (s *Server) writePlain(w http.ResponseWriter, mode Mode) {
	w.Header().Set("Content-Length", strconv.Itoa(len(Body)))
	if mode == CutMiddle {
		_, _ = io.WriteString(w, Body[:len(Body)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(w, Body)
}

// Event returns the text of one event of a stream.
func Event(number int) string {
	return fmt.Sprintf("id: %d\ndata: piece %d\n\n", number, number)
}

// event returns the text of one event of this server's streams.
func (s *Server) event(number int) string {
	if s.options.VersionInEvents {
		return versionedEvent(number, s.options.Version)
	}
	return Event(number)
}

func (s *Server) writeStream(w http.ResponseWriter, r *http.Request, mode Mode, lastEventID int, slower float64) {
	w.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	for number := lastEventID + 1; number <= s.options.Events; number++ {
		if mode == CutMiddle && number == lastEventID+1+(s.options.Events-lastEventID)/2 {
			_, _ = io.WriteString(w, s.event(number)[:6])
			_ = control.Flush()
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(w, s.event(number))
		_ = control.Flush()
		if !pause(r, scaleDuration(s.options.Gap, slower)) {
			return
		}
	}
}

// writeRaw hijacks the connection and writes responses that an HTTP library doesn't produce.
func (s *Server) writeRaw(w http.ResponseWriter, mode Mode, lastEventID int) {
	conn, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	id := w.Header().Get("X-Attempt-Id")
	noticeLines := ""
	if mode != ResetAfter && mode != Garbage {
		noticeLines = s.noticeHeaderLines(id)
	}
	switch mode {
	case ResetAfter:
		resetOnClose(conn)
	case Unframed, EndInside, UnframedReset, EarlyReset:
		_, _ = fmt.Fprintf(buffered, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Server-Stamp: %s\r\n%s\r\n%s", id, s.stamp(id), noticeLines, s.unframedBody(mode, lastEventID))
		_ = buffered.Flush()
		if mode == UnframedReset || mode == EarlyReset {
			resetOnClose(conn)
		}
	case Foreign:
		// The second response closes the connection and announces it in its header, so that the
		// client doesn't reuse the connection: a request sent on it could cross the close.
		const answer = "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Server-Stamp: %s\r\n%sConnection: %s\r\nContent-Length: %d\r\n\r\n%s"
		_, _ = fmt.Fprintf(buffered, answer, "another", s.stamp("another"), noticeLines, "keep-alive", len(s.completeBody()), s.completeBody())
		_, _ = fmt.Fprintf(buffered, answer, id, s.stamp(id), "", "close", len(s.completeBody()), s.completeBody())
		_ = buffered.Flush()
	case Garbage:
		_, _ = io.WriteString(buffered, "\x00\x01 no answer at all\r\n\r\n")
		_ = buffered.Flush()
	}
}

// resetOnClose makes the close of a connection reset it.
func resetOnClose(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
}

// unframedBody returns what a server sends of a response that ends with its connection.
func (s *Server) unframedBody(mode Mode, lastEventID int) string {
	switch {
	case mode == Unframed && s.options.Events > 0:
		var text strings.Builder
		for number := lastEventID + 1; number <= s.options.Events; number++ {
			text.WriteString(s.event(number))
		}
		return text.String()
	case mode == EarlyReset && s.options.Events > 0:
		return s.event(lastEventID + 1)
	case s.options.Events > 0:
		return s.event(lastEventID+1) + s.event(lastEventID + 2)[:6]
	case mode == UnframedReset || mode == EarlyReset:
		return Body[:len(Body)/2]
	}
	return Body
}

// completeBody returns the body of a complete response.
func (s *Server) completeBody() string {
	if s.options.Events == 0 {
		return Body
	}
	var text strings.Builder
	for number := 1; number <= s.options.Events; number++ {
		text.WriteString(Event(number))
	}
	return text.String()
}
