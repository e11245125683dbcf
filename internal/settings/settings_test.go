package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const validSettings = `// A router.
{
  "role": "router",
  "id": "router-0",
  "data_center": "accra-1",
  "callers": "127.0.0.1:8080",
  "operators": "127.0.0.1:8081",
  "link": "127.0.0.1:7000",
  "beat": "127.0.0.1:7000",
  "seeds": ["127.0.0.1:7010"],
  "store": "http://127.0.0.1:9000",
  "timeout": "20s",
  "log": {"level": "info"},
  "admission": {},
  "cache": {},
  "once": {},
  "membership": {},
}
`

// TestProblemTexts checks that each error is reported with its line, the value found and the
// value wanted.
func TestProblemTexts(t *testing.T) {
	tests := map[string]struct {
		old, changed string
		want         []string
	}{
		"unknown field":       {`"id":`, `"idd":`, []string{"s.json:4:", `unknown field "idd"`}},
		"wrong unit":          {`"20s"`, `"20"`, []string{"s.json:12:", `found "20"`, `such as "250ms"`}},
		"number for a time":   {`"20s"`, `20`, []string{"s.json:12:", "found 20", "with its unit"}},
		"host name":           {`"127.0.0.1:7010"`, `"router.local:7010"`, []string{"s.json:10:", "router.local", "names are not looked up"}},
		"host name in a URL":  {`http://127.0.0.1:9000`, `http://store:9000`, []string{"s.json:11:", "store:9000", "names are not looked up"}},
		"missing data centre": {`"accra-1"`, `""`, []string{"s.json:5:", "data_center", "is missing"}},
		"port clash":          {`"127.0.0.1:8081"`, `"127.0.0.1:8080"`, []string{"s.json:7:", "127.0.0.1:8080", `"callers" takes already`}},
		"unknown role":        {`"router"`, `"gateway"`, []string{"s.json:3:", `found "gateway"`, `want "router" or "agent"`}},
		"unknown level":       {`"info"`, `"loud"`, []string{"s.json:13:", "loud", "debug, info, warn, error"}},
		"factor below one":    {`"admission": {}`, `"admission": {"factor": 0.5}`, []string{"s.json:14:", "found 0.5", "1 or more"}},
		"budget too small":    {`"membership": {}`, `"membership": {"bytes_per_second": 10}`, []string{"s.json:17:", "found 10", "1200"}},
		"wrong type":          {`"20s",`, `"20s", "most_body": "big",`, []string{"s.json:12:", "most_body", "string", "int64"}},
		"broken text":         {`"id": "router-0",`, `"id" "router-0",`, []string{"s.json:4:"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			text := strings.Replace(validSettings, tt.old, tt.changed, 1)
			is.True(text != validSettings)
			_, problems := Parse("s.json", []byte(text))
			is.True(len(problems) > 0)
			message := problems[0].String()
			for _, part := range tt.want {
				if !strings.Contains(message, part) {
					t.Errorf("%q does not say %q", message, part)
				}
			}
		})
	}
}

// TestAllProblemsAreReported checks that one call reports all problems.
func TestAllProblemsAreReported(t *testing.T) {
	text := strings.Replace(strings.Replace(validSettings, `"accra-1"`, `""`, 1), `"127.0.0.1:7010"`, `"x"`, 1)
	_, problems := Parse("s.json", []byte(text))
	is.New(t).Equal(len(problems), 2)
}

func TestValidSettings(t *testing.T) {
	_, problems := Parse("s.json", []byte(validSettings))
	is.New(t).Equal(len(problems), 0)
}

func TestExamplesAreValid(t *testing.T) {
	files, err := filepath.Glob("../../examples/*.json")
	is.New(t).NoErr(err)
	is.New(t).True(len(files) >= 3)
	for _, file := range files {
		is.New(t).NoErr(Check(file))
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(validSettings))
	f.Add([]byte(`{"role": 1}`))
	for _, name := range []string{"agent-engine", "agent-service"} {
		if data, err := os.ReadFile("../../examples/" + name + ".json"); err == nil {
			f.Add(data)
		}
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		settings, problems := Parse("s.json", data)
		if settings == nil && len(problems) == 0 {
			t.Fatal("got neither settings nor a problem")
		}
	})
}
