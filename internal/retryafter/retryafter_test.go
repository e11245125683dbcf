package retryafter_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/capersaddle/capersaddle/internal/retryafter"
)

const date = "Thu, 03 Dec 2026 10:00:00 GMT"

// TestOf checks seconds and dates in each form that a back end may write, and invalid values.
func TestOf(t *testing.T) {
	const maxQuoted = 40
	long := strings.Repeat("9", 400)
	cases := map[string]struct {
		values     []string
		wait       time.Duration
		unreadable string
	}{
		"nothing":                    {nil, 0, ""},
		"whole seconds":              {[]string{"3"}, 3 * time.Second, ""},
		"fraction":                   {[]string{"2.5"}, 2500 * time.Millisecond, ""},
		"less than a second":         {[]string{"0.05"}, 50 * time.Millisecond, ""},
		"no digit before the point":  {[]string{".5"}, 500 * time.Millisecond, ""},
		"surrounding spaces":         {[]string{" 4 "}, 4 * time.Second, ""},
		"none":                       {[]string{"0"}, 0, ""},
		"negative":                   {[]string{"-3"}, 0, "-3"},
		"a day":                      {[]string{"86400"}, 24 * time.Hour, ""},
		"more than a day":            {[]string{"99999999"}, 24 * time.Hour, ""},
		"too many digits":            {[]string{long}, 0, long[:maxQuoted]},
		"exponent":                   {[]string{"1e99"}, 0, "1e99"},
		"name of a number":           {[]string{"inf"}, 0, "inf"},
		"not a number":               {[]string{"soon"}, 0, "soon"},
		"two points":                 {[]string{"1.2.3"}, 0, "1.2.3"},
		"only a point":               {[]string{"."}, 0, "."},
		"empty":                      {[]string{""}, 0, ""},
		"with a unit":                {[]string{"3 s"}, 0, "3 s"},
		"two numbers":                {[]string{"3, 4"}, 0, "3, 4"},
		"longest of two":             {[]string{"3", "5"}, 5 * time.Second, ""},
		"one of two invalid":         {[]string{"soon", "5"}, 5 * time.Second, "soon"},
		"date in the future":         {[]string{"Thu, 03 Dec 2026 10:00:07 GMT"}, 7 * time.Second, ""},
		"date in the past":           {[]string{"Thu, 03 Dec 2026 09:00:00 GMT"}, 0, ""},
		"date in the distant future": {[]string{"Thu, 03 Dec 2099 10:00:00 GMT"}, 24 * time.Hour, ""},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			wait, unreadable := retryafter.Of(http.Header{"Retry-After": test.values, "Date": {date}}, time.Time{})
			is.Equal(wait, test.wait)
			is.Equal(unreadable, test.unreadable)
		})
	}
}

// TestDateWithoutDateHeader checks that a date in a response without a Date header is compared
// with this host's clock.
func TestDateWithoutDateHeader(t *testing.T) {
	is := is.New(t)
	now, err := http.ParseTime(date)
	is.NoErr(err)
	wait, _ := retryafter.Of(http.Header{"Retry-After": {"Thu, 03 Dec 2026 10:00:09 GMT"}}, now)
	is.Equal(wait, 9*time.Second)
}

// FuzzOf checks that for any header the time is within its limits.
func FuzzOf(f *testing.F) {
	for _, value := range []string{"3", "2.5", "-1", "1e99", "soon", "Thu, 03 Dec 2026 10:00:07 GMT", strings.Repeat("9", 400), "."} {
		f.Add(value, date)
	}
	f.Fuzz(func(t *testing.T, value, date string) {
		wait, unreadable := retryafter.Of(http.Header{"Retry-After": {value}, "Date": {date}}, time.Now())
		if wait < 0 || wait > retryafter.Max || len(unreadable) > 40 {
			t.Fatalf("%q, at %q: %v %q", value, date, wait, unreadable)
		}
	})
}
