package settings_test

import (
	"os"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/capersaddle/capersaddle/internal/settings"
)

const gateway = `{
  // a comment
  "role": "gateway", "id": "g", "data_center": "dc",
  "callers": "127.0.0.1:1", "ready": "127.0.0.1:2",
  "store": "127.0.0.1:3"
}`

func TestGatewaySettings(t *testing.T) {
	cases := map[string]struct {
		change [2]string
		want   string
	}{
		"good":             {[2]string{"", ""}, ""},
		"another role":     {[2]string{`"role": "gateway"`, `"role": "router"`}, `want "gateway"`},
		"no store":         {[2]string{`"store": "127.0.0.1:3"`, `"store": ""`}, "is missing; want IP:port"},
		"a name":           {[2]string{`127.0.0.1:3`, `store.example:3`}, "names are not looked up"},
		"a port twice":     {[2]string{`127.0.0.1:2`, `127.0.0.1:1`}, "want another port"},
		"cut off":          {[2]string{"}", ""}, "unexpected"},
		"an unknown field": {[2]string{`"id"`, `"idd": 1, "id"`}, `unknown field "idd"`},
		"a bad time":       {[2]string{`"id"`, `"grace": 8, "id"`}, "a time with its unit"},
		"a bad multiple":   {[2]string{`"id"`, `"load": {"multiple": 0.5}, "id"`}, "want 1 or more"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			text := strings.Replace(gateway, tc.change[0], tc.change[1], 1)
			read, problems := settings.ParseGateway("g.json", []byte(text))
			if tc.want == "" {
				is.Equal(len(problems), 0)
				is.Equal(time.Duration(read.Grace), 8*time.Second)
				is.Equal(read.Load.Multiple, 2.0)
				return
			}
			is.True(len(problems) > 0)
			is.True(strings.Contains(problems[0].String(), tc.want)) // names the cure
		})
	}
}

func TestTheTemplateOfTheDeployment(t *testing.T) {
	is := is.New(t)
	text, err := os.ReadFile("../../deploy/gateway.json")
	is.NoErr(err)
	is.True(len(text) < 64<<10)
	// Every field that the template writes is one that the settings know.
	filled := strings.NewReplacer(
		"{{#seeds}}\"{{.}}\"{{,}}{{/seeds}}", `"127.0.0.1:9"`,
		"{{#bounds.strict_revocation}}", "", "{{/bounds.strict_revocation}}", "",
		"{{listen.frontend}}", "127.0.0.1:1", "{{listen.ready}}", "127.0.0.1:2", "{{listen.control}}", "127.0.0.1:4",
		"{{platform.address}}", "127.0.0.1:3", "{{ip_address}}:{{internal_ports.0}}", "127.0.0.1:5",
		"{{bounds.revocation_ms}}", "5000", "{{bounds.grace_period_s}}", "8", "{{bounds.capacity_multiple}}", "2",
		"{{bounds.retry_budget_ratio}}", "0.2", "{{bounds.retry_slack}}", "54", "{{bounds.retry_window_s}}", "10",
		"{{node_name}}", "n", "{{zone}}", "z",
	).Replace(string(text))
	read, problems := settings.ParseGateway("gateway.json", []byte(filled))
	is.Equal(problems, nil)
	is.Equal(time.Duration(read.Revocation), 5*time.Second)
	is.Equal(read.Retry.Slack, 54.0)
}

func FuzzParseGateway(f *testing.F) {
	f.Add([]byte(gateway))
	f.Fuzz(func(t *testing.T, data []byte) {
		read, problems := settings.ParseGateway("g.json", data)
		if len(problems) == 0 && read.Role != "gateway" {
			t.Fatalf("taken: %+v", read)
		}
	})
}
