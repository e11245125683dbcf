// Package oplang is the operators' language: queries that ask what holds now
// and commands that take effect or are plainly refused. docs/LANGUAGE.md has
// the grammar on one page; the parser is participle's.
package oplang

import (
	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
	"github.com/cockroachdb/errors"

	"github.com/capersaddle/capersaddle/internal/fault"
)

// Query asks for rows of one source.
type Query struct {
	Source string       `parser:"@Word"`
	Where  []*Condition `parser:"( 'where' @@ ( 'and' @@ )* )?"`
	Show   []string     `parser:"( 'show' @Word ( ',' @Word )* )?"`
	Sort   *Sort        `parser:"( 'sort' 'by' @@ )?"`
	Limit  *int         `parser:"( 'limit' @Number )?"`
}

// Condition keeps rows whose column compares with a value.
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

// Named names a document.
type Named struct {
	Kind string `parser:"@Word"`
	Name string `parser:"@( Word | String )"`
}

// Create names a document and gives values to its fields.
type Create struct {
	Named
	Fields []*Field `parser:"( 'with' @@ ( ',' @@ )* )?"`
}

// Field gives one field a value.
type Field struct {
	Name  string `parser:"@Word '='"`
	Value *Value `parser:"@@"`
}

// Value is a text, a number, a truth value or a list of these.
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

// mostText bounds a query or a script, in bytes.
const mostText = 64 << 10

func parse[T any](parser *participle.Parser[T], what, text string) (*T, error) {
	if len(text) > mostText {
		return nil, fault.New(fault.BadRequest, fault.NotRun, "%s is longer than %d bytes", what, mostText)
	}
	parsed, err := parser.ParseString("", text)
	if err == nil {
		return parsed, nil
	}
	var located participle.Error
	if errors.As(err, &located) {
		at := located.Position()
		return nil, fault.New(fault.BadRequest, fault.NotRun, "%s, line %d, column %d: %s", what, at.Line, at.Column, located.Message())
	}
	return nil, fault.New(fault.BadRequest, fault.NotRun, "%s: %v", what, err)
}

// ParseQuery reads a query; errors name the position and what was expected.
func ParseQuery(text string) (*Query, error) {
	return parse(queryParser, "query", text)
}

// ParseScript reads a script.
func ParseScript(text string) (*Script, error) {
	return parse(scriptParser, "command", text)
}
