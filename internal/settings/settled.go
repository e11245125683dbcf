package settings

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/capersaddle/capersaddle/internal/wait"
)

const (
	// settleTime is how long after its last change a settings file may be incomplete.
	settleTime = 2 * time.Second
	// rereadInterval is the time between two attempts to read it meanwhile.
	rereadInterval = 50 * time.Millisecond
)

// LoadSettled loads a settings file with Load or LoadGateway. A file that can't be loaded and has just changed may
// be in the middle of a change: it is loaded again until it has settled, or the context ends. The reason for the
// wait is written to log.
func LoadSettled[T any](ctx context.Context, file string, load func(file string) (T, error), log io.Writer) (T, error) {
	for waited := false; ; waited = true {
		loaded, err := load(file)
		if err == nil || !hasJustChanged(file) {
			return loaded, err
		}
		if !waited {
			_, _ = fmt.Fprintf(log, "%v\nthe file has just changed; waiting for the rest of it\n", err) // nobody may read it
		}
		if !wait.For(ctx, rereadInterval) {
			return loaded, err
		}
	}
}

// hasJustChanged reports whether a file changed less than settleTime ago.
func hasJustChanged(file string) bool {
	info, err := os.Stat(file)
	if err != nil {
		return false
	}
	age := time.Since(info.ModTime())
	return age >= 0 && age < settleTime
}
