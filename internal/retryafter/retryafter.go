// Package retryafter reads the header Retry-After of what a back end answers: for how long it
// wants to be left alone.
//
// Source: RFC 9110, section 10.2.3; fractions of seconds are read besides.
package retryafter

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	// Max bounds what is read: whoever asks for more has most likely written nonsense, and a
	// back end is away for longer than a day only if it ends.
	Max = 24 * time.Hour
	// mostQuoted bounds what is given back of a value that can't be read, in bytes.
	mostQuoted = 40
)

// Of is the longest time that a header asks for, zero for none, and what it says in place of
// a time, cut short; empty if there is no such thing. now is the time of day, for dates in a
// header that does not say when it was made.
func Of(header http.Header, now time.Time) (wait time.Duration, unreadable string) {
	from := now
	if made, err := http.ParseTime(header.Get("Date")); err == nil {
		// The clocks of the back end and of this host may differ.
		from = made
	}
	for _, value := range header.Values("Retry-After") {
		value = strings.TrimSpace(value)
		read, ok := parse(value, from)
		if !ok && unreadable == "" {
			unreadable = value[:min(len(value), mostQuoted)]
		}
		wait = max(wait, read)
	}
	return wait, unreadable
}

// parse reads seconds or a date; what lies in the past asks for nothing.
func parse(value string, from time.Time) (time.Duration, bool) {
	if wait, ok := parseSeconds(value); ok {
		return wait, true
	}
	until, err := http.ParseTime(value)
	if err != nil {
		return 0, false
	}
	return min(max(until.Sub(from), 0), Max), true
}

// parseSeconds reads a decimal number of seconds, at most Max. Signs, exponents and names of
// numbers are none that a back end writes.
func parseSeconds(text string) (time.Duration, bool) {
	if strings.Trim(text, "0123456789.") != "" {
		return 0, false
	}
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return 0, false
	}
	if seconds >= Max.Seconds() {
		return Max, true
	}
	return time.Duration(seconds * float64(time.Second)), true
}
