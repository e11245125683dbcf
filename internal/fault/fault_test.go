package fault

import (
	"go/ast"
	"go/parser"
	"go/token"
	"strconv"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

// TestEveryKindHasAnAnswer checks that every kind declared in the source has a row in the
// table.
func TestEveryKindHasAnAnswer(t *testing.T) {
	is := is.New(t)
	file, err := parser.ParseFile(token.NewFileSet(), "fault.go", nil, 0)
	is.NoErr(err)
	declared := 0
	ast.Inspect(file, func(node ast.Node) bool {
		spec, ok := node.(*ast.ValueSpec)
		if !ok {
			return true
		}
		if name, ok := spec.Type.(*ast.Ident); !ok || name.Name != "Kind" {
			return true
		}
		declared++
		text, err := strconv.Unquote(spec.Values[0].(*ast.BasicLit).Value)
		is.NoErr(err)
		if _, ok := answers[Kind(text)]; !ok {
			t.Errorf("kind %q has no answer", text)
		}
		return true
	})
	is.Equal(declared, len(Kinds()))
}

func TestFrom(t *testing.T) {
	tests := map[string]struct {
		err  error
		kind Kind
		exit int
	}{
		"no error":      {nil, Internal, 0},
		"known error":   {New(Overloaded, NotRun, "full"), Overloaded, ExitRefused},
		"wrapped error": {errors.Wrap(New(StoreAway, NotRun, "away"), "try"), StoreAway, ExitUnavailable},
		"other error":   {errors.New("what"), Internal, ExitFailed},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(ExitCode(tt.err), tt.exit)
			if tt.err != nil {
				is.Equal(KindOf(tt.err), tt.kind)
			}
		})
	}
}

// TestUnknownErrorsHaveUnknownRunState checks that an error of no known kind never claims that
// the request did not run.
func TestUnknownErrorsHaveUnknownRunState(t *testing.T) {
	is.New(t).Equal(From(errors.New("what")).State, Unknown)
}
