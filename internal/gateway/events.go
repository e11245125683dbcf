package gateway

import (
	"bufio"
	"bytes"
	"io"

	"github.com/cockroachdb/errors"

	"github.com/capersaddle/capersaddle/internal/spool"
)

const (
	// readBufferSize is the size of the read buffer for a stream, in bytes.
	readBufferSize = 4096
	// maxEvent limits one event, in bytes.
	maxEvent = 4 << 20
)

// eventReader splits a stream into complete events, byte for byte. An event ends with an empty
// line; its ID is the value of its last id field.
type eventReader struct {
	reader *bufio.Reader
	buf    []byte
	reservation
}

// newEventReader returns a reader whose events take their memory from a budget; nil for no bound. Its user
// calls release at the end.
func newEventReader(body io.Reader, budget *spool.Budget) *eventReader {
	return &eventReader{reader: bufio.NewReaderSize(body, readBufferSize), reservation: reservation{budget: budget}}
}

var idField = []byte("id:")

// next returns one complete event, valid until the next call, and its ID. At a clean end it returns
// io.EOF. An end inside an event is io.ErrUnexpectedEOF.
func (e *eventReader) next() (event []byte, id string, err error) {
	e.buf = e.buf[:0]
	for {
		line, err := e.reader.ReadSlice('\n')
		e.buf = append(e.buf, line...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
		case errors.Is(err, io.EOF) && len(e.buf) > 0:
			return nil, "", io.ErrUnexpectedEOF
		case err != nil:
			return nil, "", err
		}
		if len(e.buf) > maxEvent {
			return nil, "", bufio.ErrTooLong
		}
		if err := e.grow(len(e.buf)); err != nil {
			return nil, "", err
		}
		if err == nil && endsEvent(e.buf) {
			return e.buf, eventID(e.buf), nil
		}
	}
}

// bufferedEvents returns how many complete events can be read without waiting, as far as they were
// received together.
func (e *eventReader) bufferedEvents() int {
	buffered, err := e.reader.Peek(e.reader.Buffered())
	if err != nil {
		return 0
	}
	return bytes.Count(buffered, []byte("\n\n")) + bytes.Count(buffered, []byte("\n\r\n"))
}

// endsEvent reports whether the last line is empty.
func endsEvent(event []byte) bool {
	return bytes.HasSuffix(event, []byte("\n\n")) ||
		bytes.HasSuffix(event, []byte("\n\r\n")) ||
		len(event) == 1 || bytes.Equal(event, []byte("\r\n"))
}

func eventID(event []byte) string {
	id := ""
	for line := range bytes.Lines(event) {
		if value, ok := bytes.CutPrefix(line, idField); ok {
			id = string(bytes.TrimSpace(value))
		}
	}
	return id
}
