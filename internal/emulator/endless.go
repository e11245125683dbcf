package emulator

import (
	"bufio"
	"bytes"
	"fmt"
	"net/http"
	"time"
)

// The modes in which a server sends bytes without end, until the caller disconnects. A server whose
// mode is one of them answers its health check in the same way.
const (
	// EndlessStatus sends a status line without end, EndlessHeader a header line, EndlessHeaders
	// header lines, and EndlessZeros zeros from the first byte on.
	EndlessStatus  Mode = "endless_status"
	EndlessHeader  Mode = "endless_header"
	EndlessHeaders Mode = "endless_headers"
	EndlessZeros   Mode = "endless_zeros"
	// EndlessEarly sends informational responses without end.
	EndlessEarly Mode = "endless_early"
	// EndlessForeign sends a response to another request whose body has no end.
	EndlessForeign Mode = "endless_foreign"
	// EndlessBody sends a body without end and without a length, EndlessEvent one event of a stream,
	// EndlessChunkSize the size of a chunk, and EndlessTrailer the trailer of a response in chunks.
	EndlessBody      Mode = "endless_body"
	EndlessEvent     Mode = "endless_event"
	EndlessChunkSize Mode = "endless_chunk_size"
	EndlessTrailer   Mode = "endless_trailer"
	// TrickledHeader sends a header line without end, some bytes at a time.
	TrickledHeader Mode = "trickled_header"
	// TrickledEvent sends an event without end, some bytes at a time.
	TrickledEvent Mode = "trickled_event"
)

const (
	// endlessPart is the size of one write of a response without end, in bytes.
	endlessPart = 64 << 10
	// trickleInterval is the time between the writes of a trickled response, of trickledPart bytes
	// each.
	trickleInterval = 20 * time.Millisecond
	trickledPart    = 16
)

// endlessBytes is a response without end: its start, and what is repeated after it.
type endlessBytes struct {
	start, repeated string
	// trickles sends few bytes at a time.
	trickles bool
}

// endlessBytesOf returns what a server sends in a mode; ok is false for a mode that ends.
func (s *Server) endlessBytesOf(mode Mode, id string) (response endlessBytes, ok bool) {
	head := func(id, framing string) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Server-Stamp: %s\r\nX-Instance-Id: %s\r\n%s", id, s.stamp(id), s.options.ID, framing)
	}
	const chunked = "Transfer-Encoding: chunked\r\n\r\n"
	responses := map[Mode]endlessBytes{
		EndlessStatus:    {start: "HTTP/1.1 200 ", repeated: "O"},
		EndlessHeader:    {start: head(id, "X-Filler: "), repeated: "a"},
		EndlessHeaders:   {start: head(id, ""), repeated: "X-Filler: a\r\n"},
		EndlessZeros:     {repeated: "\x00"},
		EndlessEarly:     {repeated: "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"},
		EndlessForeign:   {start: head("another", fmt.Sprintf("Content-Length: %d\r\n\r\n", int64(1)<<60)), repeated: "a"},
		EndlessBody:      {start: head(id, "\r\n"), repeated: "a"},
		EndlessEvent:     {start: head(id, "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: "), repeated: "a"},
		EndlessChunkSize: {start: head(id, chunked), repeated: "1"},
		EndlessTrailer:   {start: head(id, chunked) + "1\r\na\r\n0\r\n", repeated: "X-Filler: a\r\n"},
		TrickledHeader:   {start: head(id, "X-Filler: "), repeated: "a", trickles: true},
		TrickledEvent:    {start: head(id, "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: "), repeated: "a", trickles: true},
	}
	response, ok = responses[mode]
	return response, ok
}

// writeEndless sends a response without end and returns once the caller has disconnected or the
// process has ended: a server that closes does not close hijacked connections.
func writeEndless(w http.ResponseWriter, response endlessBytes) {
	conn, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	response.write(buffered.Writer)
}

// write writes until a write fails.
func (r endlessBytes) write(to *bufio.Writer) {
	size := endlessPart
	if r.trickles {
		size = trickledPart
	}
	part := bytes.Repeat([]byte(r.repeated), max(size/len(r.repeated), 1))
	_, err := to.WriteString(r.start)
	for err == nil {
		if _, err = to.Write(part); err == nil {
			err = to.Flush()
		}
		if r.trickles {
			time.Sleep(trickleInterval)
		}
	}
}

// answerHealthEndless answers a health check without end, if that is how the server misbehaves.
func (s *Server) answerHealthEndless(w http.ResponseWriter) bool {
	s.mu.Lock()
	mode := s.mode
	misbehaves := s.misbehaviorsLeft != 0
	s.mu.Unlock()
	response, endless := s.endlessBytesOf(mode, "")
	if !misbehaves || !endless {
		return false
	}
	writeEndless(w, response)
	return true
}
