package logsink_test

import (
	"bytes"
	"context"
	"io"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"github.com/capersaddle/capersaddle/internal/logsink"
)

// buffer is safe for concurrent reads and writes.
type buffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *buffer) Write(data []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(data)
}

func TestLinesKeepTheirOrder(t *testing.T) {
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

// TestStalledReaderDoesNotBlockWrites checks that, with a pipe that is never read, writes
// return, lines over the limit are counted, and Close is bounded.
func TestStalledReaderDoesNotBlockWrites(t *testing.T) {
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

func TestDroppedLinesAreLogged(t *testing.T) {
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

// brokenPipe fails while it has no reader.
type brokenPipe struct {
	mu     sync.Mutex
	broken bool
	lines  []string
}

func (b *brokenPipe) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.broken {
		return 0, syscall.EPIPE
	}
	b.lines = append(b.lines, string(line))
	return len(line), nil
}

func (b *brokenPipe) setBroken(broken bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.broken = broken
}

// TestReaderComesBack guards against lines that are lost without a trace while nobody reads the log.
func TestReaderComesBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		pipe := &brokenPipe{broken: true}
		sink := logsink.New(pipe)
		for range 3 {
			_, err := sink.Write([]byte("lost\n"))
			is.NoErr(err)
		}
		synctest.Wait()
		is.Equal(sink.Dropped(), int64(3))
		pipe.setBroken(false)
		_, err := sink.Write([]byte("read\n"))
		is.NoErr(err)
		is.NoErr(sink.Close(t.Context()))
		is.Equal(len(pipe.lines), 2)
		is.Equal(pipe.lines[0], "read\n")
		is.True(strings.Contains(pipe.lines[1], `"lines":3`))
	})
}
