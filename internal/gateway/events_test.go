package gateway

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/matryer/is"
)

func TestEventReader(t *testing.T) {
	cases := map[string]struct {
		text string
		ids  []string
		err  error
	}{
		"two events":          {"id: 1\ndata: a\n\nid:2\n\n", []string{"1", "2"}, io.EOF},
		"carriage returns":    {"id: 1\r\ndata: a\r\n\r\nid: 2\r\n\r\n", []string{"1", "2"}, io.EOF},
		"without an id":       {": comment\n\ndata: x\n\n", []string{"", ""}, io.EOF},
		"nothing":             {"", nil, io.EOF},
		"end inside an event": {"id: 1\n\nid: 2\nda", []string{"1"}, io.ErrUnexpectedEOF},
		"no empty line":       {"id: 1\n\nid: 2\n", []string{"1"}, io.ErrUnexpectedEOF},
		"a long line":         {"id: 1\ndata: " + strings.Repeat("x", 3*readBufferSize) + "\n\n", []string{"1"}, io.EOF},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			source := newEventReader(iotest.OneByteReader(strings.NewReader(tc.text)), nil)
			var ids []string
			var read bytes.Buffer
			for {
				event, id, err := source.next()
				if err != nil {
					is.Equal(err, tc.err)
					break
				}
				ids = append(ids, id)
				read.Write(event)
			}
			is.Equal(ids, tc.ids)
			is.True(strings.HasPrefix(tc.text, read.String())) // byte for byte
		})
	}
}

// FuzzEvents checks that complete events are returned byte for byte in order, and that the
// remainder is not a complete event.
func FuzzEvents(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\nid: 2\n\nrest"))
	f.Add([]byte("\n\r\n\r\n\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		source := newEventReader(bytes.NewReader(data), nil)
		var read []byte
		for {
			event, _, err := source.next()
			if errors.Is(err, io.EOF) {
				if !bytes.Equal(read, data) {
					t.Fatalf("a clean end after %d of %d bytes", len(read), len(data))
				}
				return
			}
			if err != nil {
				if !bytes.HasPrefix(data, read) || len(read) == len(data) {
					t.Fatalf("%v after %q of %q", err, read, data)
				}
				return
			}
			read = append(read, event...)
		}
	})
}
