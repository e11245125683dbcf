// Package retryafter parses the Retry-After header of a back end's response: for how long the
// back end wants no requests.
//
// Source: RFC 9110, section 10.2.3; fractions of seconds are accepted in addition.
package retryafter

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	// Max limits the time that is accepted: a longer one is most likely a mistake, and a back
	// end is away for longer than a day only if it is shut down.
	Max = 24 * time.Hour
	// maxQuoted limits how much of an invalid value is returned, in bytes.
	maxQuoted = 40
)

// Of returns the longest time that a header asks for, zero for none, and the beginning of the
// first invalid value; empty if all values are valid. now is the current time, used for dates
// in a header without a Date field.
func Of(header http.Header, now time.Time) (wait time.Duration, unreadable string) {
	from := now
	if sent, err := http.ParseTime(header.Get("Date")); err == nil {
		// The clocks of the back end and of this host may differ.
		from = sent
	}
	for _, value := range header.Values("Retry-After") {
		value = strings.TrimSpace(value)
		parsed, ok := parse(value, from)
		if !ok && unreadable == "" {
			unreadable = value[:min(len(value), maxQuoted)]
		}
		wait = max(wait, parsed)
	}
	return wait, unreadable
}

// parse parses a number of seconds or a date. A date in the past yields zero.
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

// parseSeconds parses a decimal number of seconds and limits it to Max. It rejects signs,
// exponents and names of numbers, which back ends do not write.
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
