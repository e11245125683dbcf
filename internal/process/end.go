package process

import (
	"github.com/charmbracelet/log"

	"github.com/capersaddle/capersaddle/internal/usage"
)

// LogEnd logs that a process ends, with the error if it failed and with what it has used: a process that
// ends without this line was killed, or has written a panic to standard error.
func LogEnd(logger *log.Logger, event, id string, failure error) {
	fields := []any{"process", id}
	used, err := usage.Read()
	if err != nil {
		fields = append(fields, "usage", err.Error())
	} else {
		fields = append(fields, "peak_mb", used.PeakMemory>>20, "descriptors", used.Descriptors)
	}
	if failure != nil {
		logger.Error(event, append(fields, "error", failure.Error())...)
		return
	}
	logger.Info(event, fields...)
}
