package settings

import (
	"context"
	"io"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

// TestFileThatIsBeingWritten guards against a process that ends at its start because its settings are being
// written at that moment, and against one that waits for a file that is wrong.
func TestFileThatIsBeingWritten(t *testing.T) {
	errIncomplete := errors.New("incomplete")
	cases := map[string]struct {
		age time.Duration
		// completeAfter is the number of attempts that fail.
		completeAfter int
		stopped       bool
		want          error
		attempts      int
	}{
		"complete":                      {0, 0, false, nil, 1},
		"complete after three attempts": {0, 3, false, nil, 4},
		"wrong for long":                {time.Hour, 3, false, errIncomplete, 1},
		"changed in the future":         {-time.Hour, 3, false, errIncomplete, 1},
		"told to stop meanwhile":        {0, 3, true, errIncomplete, 1},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			file := filepath.Join(t.TempDir(), "settings.json")
			is.NoErr(os.WriteFile(file, nil, 0o600))
			changed := time.Now().Add(-test.age)
			is.NoErr(os.Chtimes(file, changed, changed))
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			attempts := 0
			loaded, err := LoadSettled(ctx, file, func(string) (int, error) {
				if test.stopped {
					cancel()
				}
				if attempts++; attempts <= test.completeAfter {
					return 0, errIncomplete
				}
				return attempts, nil
			}, io.Discard)
			is.Equal(err, test.want)
			is.Equal(attempts, test.attempts)
			if test.want == nil {
				is.Equal(loaded, attempts)
			}
		})
	}
}
