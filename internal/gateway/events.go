package gateway

import (
	"bufio"
	"bytes"
	"io"

	"github.com/cockroachdb/errors"
)

const (
	// eventBuffer is the read buffer for a stream, in bytes.
	eventBuffer = 4096
	// mostEvent bounds one event, in bytes.
	mostEvent = 4 << 20
)

// events cuts a stream into whole events, byte for byte. An event ends with an
// empty line; its id is the value of its last id field.
type events struct {
	reader *bufio.Reader
	event  []byte
}

func newEvents(body io.Reader) *events {
	return &events{reader: bufio.NewReaderSize(body, eventBuffer)}
}

var idField = []byte("id:")

// next returns one whole event, valid until the next call, and its id. At a
// clean end it returns io.EOF; an end inside an event is
// io.ErrUnexpectedEOF.
func (e *events) next() (event []byte, id string, err error) {
	e.event = e.event[:0]
	for {
		line, err := e.reader.ReadSlice('\n')
		e.event = append(e.event, line...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
		case errors.Is(err, io.EOF) && len(e.event) > 0:
			return nil, "", io.ErrUnexpectedEOF
		case err != nil:
			return nil, "", err
		}
		if len(e.event) > mostEvent {
			return nil, "", bufio.ErrTooLong
		}
		if err == nil && endsEvent(e.event) {
			return e.event, eventID(e.event), nil
		}
	}
}

// ready is how many whole events can be read without waiting, as far as they have been
// received together.
func (e *events) ready() int {
	held, err := e.reader.Peek(e.reader.Buffered())
	if err != nil {
		return 0
	}
	return bytes.Count(held, []byte("\n\n")) + bytes.Count(held, []byte("\n\r\n"))
}

// endsEvent says whether the last line is empty.
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
