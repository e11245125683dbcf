// Package oplang implements the operators' language: queries of the current state, and commands
// that either take effect or are refused. docs/LANGUAGE.md has the grammar on one page; the
// parser is built with participle.
package oplang

import (
	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
	"github.com/cockroachdb/errors"

	"github.com/capersaddle/capersaddle/internal/fault"
)

// Query selects rows of one source.
type Query struct {
	Source string       `parser:"@Word"`
	Where  []*Condition `parser:"( 'where' @@ ( 'and' @@ )* )?"`
	Show   []string     `parser:"( 'show' @Word ( ',' @Word )* )?"`
	Sort   *Sort        `parser:"( 'sort' 'by' @@ )?"`
	Limit  *int         `parser:"( 'limit' @Number )?"`
}

// Condition selects rows by comparing a column with a value.
type Condition struct {
	Column   string `parser:"@Word"`
	Operator string `parser:"@( '=' | '!=' | '<=' | '>=' | '<' | '>' | '~' )"`
	Value    string `parser:"@( Word | String | Number )"`
}

// Sort orders rows by a column.
type Sort struct {
	Column     string `parser:"@Word"`
	Descending bool   `parser:"@'desc'?"`
}

// Script is one or more statements that take effect together or not at all.
type Script struct {
	Statements []*Statement `parser:"@@ ( ';' @@ )* ';'?"`
	IfRevision *uint64      `parser:"( 'if' 'revision' '=' @Number )?"`
}

// Statement is one change.
type Statement struct {
	Create *Create `parser:"  'create' @@"`
	Change *Create `parser:"| 'change' @@"`
	Remove *Named  `parser:"| 'remove' @@"`
	Mark   *string `parser:"| 'mark' 'target' @( Word | String )"`
	Unmark *string `parser:"| 'unmark' 'target' @( Word | String )"`
}

// Named identifies a document.
type Named struct {
	Kind string `parser:"@Word"`
	Name string `parser:"@( Word | String )"`
}

// Create identifies a document and assigns values to its fields.
type Create struct {
	Named
	Fields []*Field `parser:"( 'with' @@ ( ',' @@ )* )?"`
}

// Field assigns a value to one field.
type Field struct {
	Name  string `parser:"@Word '='"`
	Value *Value `parser:"@@"`
}

// Value is a string, a number, a boolean or a list of these.
type Value struct {
	Number *float64 `parser:"  @Number"`
	True   bool     `parser:"| @'true'"`
	False  bool     `parser:"| @'false'"`
	Text   *string  `parser:"| @( String | Word )"`
	List   []*Value `parser:"| '[' ( @@ ( ',' @@ )* )? ']'"`
}

var tokens = lexer.MustSimple([]lexer.SimpleRule{
	{Name: "Space", Pattern: `\s+`},
	{Name: "String", Pattern: `"(\\.|[^"\\])*"|'[^']*'`},
	{Name: "Number", Pattern: `\d+(\.\d+)?\b`},
	{Name: "Word", Pattern: `[\pL_/][\pL\pN_./:-]*`},
	{Name: "Operator", Pattern: `!=|<=|>=|[=<>~]`},
	{Name: "Mark", Pattern: `[;,\[\]]`},
})

var (
	queryParser = participle.MustBuild[Query](
		participle.Lexer(tokens), participle.Elide("Space"), participle.Unquote("String"),
	)
	scriptParser = participle.MustBuild[Script](
		participle.Lexer(tokens), participle.Elide("Space"), participle.Unquote("String"),
	)
)

// maxTextBytes limits a query or a script, in bytes.
const maxTextBytes = 64 << 10

func parse[T any](parser *participle.Parser[T], subject, text string) (*T, error) {
	if len(text) > maxTextBytes {
		return nil, fault.New(fault.BadRequest, fault.NotRun, "%s is longer than %d bytes", subject, maxTextBytes)
	}
	parsed, err := parser.ParseString("", text)
	if err == nil {
		return parsed, nil
	}
	var located participle.Error
	if errors.As(err, &located) {
		position := located.Position()
		return nil, fault.New(fault.BadRequest, fault.NotRun, "%s, line %d, column %d: %s", subject, position.Line, position.Column, located.Message())
	}
	return nil, fault.New(fault.BadRequest, fault.NotRun, "%s: %v", subject, err)
}

// ParseQuery parses a query; errors name the position and what was expected there.
func ParseQuery(text string) (*Query, error) {
	return parse(queryParser, "query", text)
}

// ParseScript parses a script; errors are as those of ParseQuery.
func ParseScript(text string) (*Script, error) {
	return parse(scriptParser, "command", text)
}
