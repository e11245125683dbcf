package settings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"regexp"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/tailscale/hujson"

	"github.com/capersaddle/capersaddle/internal/fault"
)

// MarshalJSON writes the duration in the form that UnmarshalJSON reads.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// durationError reports a duration that can't be parsed; raw is the value in the file.
type durationError struct {
	raw  string
	want string
}

// Error returns the value found and the form wanted.
func (e *durationError) Error() string {
	return fmt.Sprintf("found %s; want %s", e.raw, e.want)
}

// UnmarshalJSON reads a duration with its unit.
func (d *Duration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return &durationError{string(data), `a time with its unit in quotes, such as "8s"`}
	}
	parsed, err := time.ParseDuration(text)
	if err != nil {
		return &durationError{string(data), `a time with its unit, such as "250ms", "8s" or "12h"`}
	}
	if parsed < 0 {
		return &durationError{string(data), "a time that is not negative"}
	}
	*d = Duration(parsed)
	return nil
}

// Problem is one error in a settings file.
type Problem struct {
	File string `json:"file"`
	// Line counts from 1; zero means unknown.
	Line int    `json:"line,omitempty"`
	Text string `json:"text"`
}

// String returns the problem as file:line: text.
func (p Problem) String() string {
	if p.Line == 0 {
		return fmt.Sprintf("%s: %s", p.File, p.Text)
	}
	return fmt.Sprintf("%s:%d: %s", p.File, p.Line, p.Text)
}

// Load reads and checks a settings file. One error holds all problems.
func Load(file string) (*Settings, error) {
	data, err := readFile(file)
	if err != nil {
		return nil, err
	}
	settings, problems := Parse(file, data)
	return settings, problemsError(problems)
}

func readFile(file string) ([]byte, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, fault.New(fault.BadSettings, fault.NotRun, "%v", err)
	}
	return data, nil
}

// problemsError joins problems into one error; nil if there are none.
func problemsError(problems []Problem) error {
	if len(problems) == 0 {
		return nil
	}
	lines := make([]string, 0, len(problems))
	for _, problem := range problems {
		lines = append(lines, problem.String())
	}
	return fault.New(fault.BadSettings, fault.NotRun, "%s", strings.Join(lines, "\n"))
}

// Parse parses settings and returns all problems found.
func Parse(file string, data []byte) (*Settings, []Problem) {
	settings := new(Settings)
	checker, problems := decode(file, data, settings, "docs/SETTINGS.md")
	if len(problems) > 0 {
		return nil, problems
	}
	checker.check(settings)
	return settings, checker.problems
}

// decode parses JSON with comments into a struct of settings and returns a checker for the
// result. page is the document that explains the fields.
func decode(file string, data []byte, into any, page string) (*checker, []Problem) {
	standard, err := hujson.Standardize(bytes.Clone(data))
	if err != nil {
		return nil, []Problem{{File: file, Line: lineInError(err), Text: err.Error()}}
	}
	decoder := json.NewDecoder(bytes.NewReader(standard))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return nil, []Problem{decodeProblem(file, standard, err, decoder.InputOffset(), page)}
	}
	return &checker{file: file, text: standard, listeners: make(map[string]string)}, nil
}

var hujsonLine = regexp.MustCompile(`line (\d+)`)

func lineInError(err error) int {
	match := hujsonLine.FindStringSubmatch(err.Error())
	if match == nil {
		return 0
	}
	line := 0
	_, _ = fmt.Sscan(match[1], &line)
	return line
}

func lineAt(text []byte, offset int64) int {
	offset = min(max(offset, 0), int64(len(text)))
	return bytes.Count(text[:offset], []byte("\n")) + 1
}

var unknownField = regexp.MustCompile(`unknown field "([^"]+)"`)

// lineOfValue returns the line of the first field with a raw value; zero if there is none, or
// if the value is not valid UTF-8 and can't be part of a pattern.
func lineOfValue(text []byte, raw string) int {
	field, err := regexp.Compile(`:\s*` + regexp.QuoteMeta(raw) + `\s*[,}\]]`)
	if err != nil {
		return 0
	}
	match := field.FindIndex(text)
	if match == nil {
		return 0
	}
	return lineAt(text, int64(match[0]))
}

func decodeProblem(file string, text []byte, err error, offset int64, page string) Problem {
	if match := unknownField.FindStringSubmatch(err.Error()); match != nil {
		at := bytes.Index(text, []byte(`"`+match[1]+`"`))
		return Problem{File: file, Line: lineAt(text, int64(at)), Text: fmt.Sprintf("unknown field %q; %s lists the known ones", match[1], page)}
	}
	var badTime *durationError
	if errors.As(err, &badTime) {
		return Problem{File: file, Line: lineOfValue(text, badTime.raw), Text: badTime.Error()}
	}
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) {
		return Problem{File: file, Line: lineAt(text, wrongType.Offset), Text: fmt.Sprintf("field %q: found a %s; want %s", wrongType.Field, wrongType.Value, wrongType.Type)}
	}
	return Problem{File: file, Line: lineAt(text, offset), Text: err.Error()}
}
