package oplang

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/capersaddle/capersaddle/internal/fault"
)

func targets() Table {
	return Table{Columns: []string{"id", "pool", "in_flight"}, Rows: [][]string{
		{"engine-1", "chat", "9"}, {"engine-2", "chat", "10"}, {"topup-0", "topup", "2"},
	}}
}

func TestQueries(t *testing.T) {
	tests := map[string]struct {
		query string
		want  string
	}{
		"all":                 {"targets", "engine-1 chat 9|engine-2 chat 10|topup-0 topup 2"},
		"equal":               {"targets where pool = topup", "topup-0 topup 2"},
		"numbers as numbers":  {"targets where in_flight > 9", "engine-2 chat 10"},
		"and":                 {"targets where pool = chat and in_flight <= 9", "engine-1 chat 9"},
		"contains":            {"targets where id ~ engine", "engine-1 chat 9|engine-2 chat 10"},
		"not":                 {"targets where pool != chat", "topup-0 topup 2"},
		"chosen columns":      {"targets show in_flight, id limit 1", "9 engine-1"},
		"sorted":              {"targets sort by in_flight desc show id", ""},
		"sorted and shown":    {"targets show id sort by in_flight desc", "engine-2|engine-1|topup-0"},
		"limit over the rows": {"targets limit 99", "engine-1 chat 9|engine-2 chat 10|topup-0 topup 2"},
		"quoted":              {`targets where id = "engine-1"`, "engine-1 chat 9"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			query, err := ParseQuery(tt.query)
			if tt.want == "" {
				is.True(err != nil)
				return
			}
			is.NoErr(err)
			got, err := query.Apply(targets())
			is.NoErr(err)
			rows := make([]string, 0, len(got.Rows))
			for _, row := range got.Rows {
				rows = append(rows, strings.Join(row, " "))
			}
			is.Equal(strings.Join(rows, "|"), tt.want)
		})
	}
}

func TestScripts(t *testing.T) {
	tests := map[string]string{
		"create workspace clinic with share = 3, key_hashes = [\"ab\", \"cd\"]": `{Name:workspace/clinic Value:{"key_hashes":["ab","cd"],"share":3} Need:absent Merge:false}`,
		"change service topup with not_repeatable = [/credit]":                  `{Name:service/topup Value:{"not_repeatable":["/credit"]} Need:present Merge:true}`,
		"remove route old-name":                        `{Name:route/old-name Value: Need:present Merge:false}`,
		"mark target engine-07":                        `{Name:mark/engine-07 Value:{"leaving":true} Need: Merge:false}`,
		"unmark target engine-07;":                     `{Name:mark/engine-07 Value: Need: Merge:false}`,
		"create workspace late with deferrable = true": `{Name:workspace/late Value:{"deferrable":true} Need:absent Merge:false}`,
	}
	for text, want := range tests {
		t.Run(text, func(t *testing.T) {
			is := is.New(t)
			script, err := ParseScript(text)
			is.NoErr(err)
			command, err := script.Command()
			is.NoErr(err)
			is.Equal(len(command.Changes), 1)
			c := command.Changes[0]
			got := "{Name:" + c.Name + " Value:" + string(c.Value) + " Need:" + string(c.Need) + " Merge:" + map[bool]string{true: "true", false: "false"}[c.Merge] + "}"
			is.Equal(got, want)
		})
	}
}

func TestBatch(t *testing.T) {
	is := is.New(t)
	script, err := ParseScript("mark target a; mark target b if revision = 41")
	is.NoErr(err)
	command, err := script.Command()
	is.NoErr(err)
	is.Equal(len(command.Changes), 2)
	is.Equal(command.IfRevision, uint64(41))
}

// TestSyntaxErrors checks that errors name their position and what was expected there.
func TestSyntaxErrors(t *testing.T) {
	tests := map[string]struct {
		text string
		want []string
	}{
		"unknown verb":             {"destroy workspace a", []string{"line 1, column 1", "destroy"}},
		"missing name":             {"create workspace", []string{"line 1, column", "<word>"}},
		"missing value":            {"create workspace a with share =", []string{"line 1, column", "expected Value"}},
		"stray comma":              {"mark target a,", []string{"line 1, column 14", ","}},
		"second line":              {"mark target a;\nmrk target b", []string{"line 2, column 1", "mrk"}},
		"unclosed quote":           {`create route a with model = "b`, []string{"line 1, column 29"}},
		"duplicate field":          {"create route a with model = b, model = c", []string{"given twice"}},
		"revision is not a number": {"mark target a if revision = x", []string{"column 29", "<number>"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			script, err := ParseScript(tt.text)
			if err == nil {
				_, err = script.Command()
			}
			if err == nil {
				t.Fatal("accepted")
			}
			for _, part := range tt.want {
				if !strings.Contains(strings.ToLower(err.Error()), strings.ToLower(part)) {
					t.Errorf("%q does not say %q", err, part)
				}
			}
		})
	}
}

func TestUnknownColumn(t *testing.T) {
	is := is.New(t)
	query, err := ParseQuery("targets where color = red")
	is.NoErr(err)
	_, err = query.Apply(targets())
	is.Equal(fault.KindOf(err), fault.BadRequest)
	is.True(strings.Contains(err.Error(), "id, pool, in_flight"))
}

func FuzzLanguage(f *testing.F) {
	f.Add("targets where pool = chat and in_flight > 3 show id sort by id desc limit 2")
	f.Add("create workspace a with key_hashes = [\"x\"], share = 2; mark target b if revision = 4")
	f.Add("\"")
	f.Fuzz(func(t *testing.T, text string) {
		if query, err := ParseQuery(text); err == nil {
			_, _ = query.Apply(targets())
		}
		if script, err := ParseScript(text); err == nil {
			if command, err := script.Command(); err == nil && len(command.Changes) == 0 {
				t.Fatal("a script without a change was accepted")
			}
		}
	})
}
