package cmdutil

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

// zeros reads zeros without end.
type zeros struct{}

func (zeros) Read(data []byte) (int, error) {
	clear(data)
	return len(data), nil
}

// TestAnswerWithoutEnd guards against a command that keeps whatever an address that it was given sends.
func TestAnswerWithoutEnd(t *testing.T) {
	is := is.New(t)
	_, err := readAnswer(zeros{})
	is.True(err != nil)
	text, err := readAnswer(strings.NewReader("an answer"))
	is.NoErr(err)
	is.Equal(string(text), "an answer")
}
