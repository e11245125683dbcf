package logsink_test

import (
	"bytes"
	"context"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"github.com/capersaddle/capersaddle/internal/logsink"
)

// buffer may be written and read from several goroutines.
type buffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *buffer) Write(data []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(data)
}

func TestLinesComeInOrder(t *testing.T) {
	defer goleak.VerifyNone(t)
	is := is.New(t)
	out := new(buffer)
	sink := logsink.New(out)
	_, _ = io.WriteString(sink, "one\n")
	_, _ = io.WriteString(sink, "two\n")
	is.NoErr(sink.Close(t.Context()))
	is.Equal(out.text.String(), "one\ntwo\n")
	_, err := io.WriteString(sink, "late\n")
	is.NoErr(err)
	is.Equal(sink.Dropped(), int64(1))
}

// TestAStoppedReaderHoldsNothingUp: with a pipe that nobody reads, writing
// goes on, the lines over the bound are counted, and the end is bounded.
func TestAStoppedReaderHoldsNothingUp(t *testing.T) {
	is := is.New(t)
	reader, writer := io.Pipe()
	sink := logsink.New(writer)
	for range 5000 {
		_, err := io.WriteString(sink, "line\n")
		is.NoErr(err)
	}
	is.True(sink.Dropped() >= 5000-1024-1)
	ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
	defer cancel()
	is.True(sink.Close(ctx) != nil)
	is.NoErr(reader.Close())
}

func TestDroppedLinesAreTold(t *testing.T) {
	is := is.New(t)
	out := new(buffer)
	reader, writer := io.Pipe()
	sink := logsink.New(writer)
	for range 3000 {
		_, _ = io.WriteString(sink, "line\n")
	}
	read := make(chan struct{})
	go func() {
		defer close(read)
		_, _ = io.Copy(out, reader)
	}()
	is.NoErr(sink.Close(t.Context()))
	is.NoErr(writer.Close())
	<-read
	is.True(strings.Contains(out.text.String(), `"msg":"log_dropped"`))
}
