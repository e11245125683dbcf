package gateway

import (
	"bytes"
	"errors"
	"io"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/capersaddle/capersaddle/internal/spool"
)

// endlessReader reads the same byte without end.
type endlessReader struct{}

func (endlessReader) Read(data []byte) (int, error) {
	for i := range data {
		data[i] = 'a'
	}
	return len(data), nil
}

// TestIncompleteAnswersShareTheBudget guards against answers of many targets that grow at the same time and
// together take more memory than the process may use.
func TestIncompleteAnswersShareTheBudget(t *testing.T) {
	is := is.New(t)
	const answers, limit = 40, 1 << 20
	budget := spool.NewBudget(limit)
	var readers []*eventReader
	for range answers {
		reader := newEventReader(endlessReader{}, budget)
		_, _, err := reader.next()
		is.True(err != nil)
		is.True(budget.Held() <= limit)
		is.True(len(reader.buf) <= limit+freeBuffer)
		readers = append(readers, reader)
	}
	_, err := bufferAnswer(&Answer{Body: io.NopCloser(endlessReader{})}, budget)
	is.True(errors.Is(err, errNoMemory))
	for _, reader := range readers {
		reader.release()
	}
	is.Equal(budget.Held(), int64(0))
}

// TestBufferedAnswer checks that an answer is read whole, whatever its size, and returns what it has taken.
func TestBufferedAnswer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		size := rapid.IntRange(0, maxBuffered+2).Draw(t, "size")
		body := bytes.Repeat([]byte("a"), size)
		budget := spool.NewBudget(0)
		got, err := bufferAnswer(&Answer{Size: -1, Body: io.NopCloser(bytes.NewReader(body))}, budget)
		if size > maxBuffered {
			is.True(errors.Is(err, errAnswerTooLarge))
			is.Equal(budget.Held(), int64(0))
			return
		}
		is.NoErr(err)
		is.True(bytes.Equal(got.body, body))
		got.release()
		is.Equal(budget.Held(), int64(0))
	})
}
