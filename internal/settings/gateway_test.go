package settings_test

import (
	"maps"
	"os"
	"regexp"
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
		"valid":                   {[2]string{"", ""}, ""},
		"other role":              {[2]string{`"role": "gateway"`, `"role": "router"`}, `want "gateway"`},
		"missing store":           {[2]string{`"store": "127.0.0.1:3"`, `"store": ""`}, "is missing; want IP:port"},
		"host name":               {[2]string{`127.0.0.1:3`, `store.example:3`}, "names are not looked up"},
		"duplicate port":          {[2]string{`127.0.0.1:2`, `127.0.0.1:1`}, "want another port"},
		"truncated":               {[2]string{"}", ""}, "unexpected"},
		"unknown field":           {[2]string{`"id"`, `"idd": 1, "id"`}, `unknown field "idd"`},
		"duration without a unit": {[2]string{`"id"`, `"grace": 8, "id"`}, "a time with its unit"},
		"negative link bandwidth": {[2]string{`"id"`, `"host": {"link_mbps": -1}, "id"`}, "want 0 or more"},
		"negative memory":         {[2]string{`"id"`, `"host": {"memory_mb": -1}, "id"`}, "want 0 or more"},
		"memory beyond 64 bits":   {[2]string{`"id"`, `"host": {"memory_mb": 1e300}, "id"`}, "want 1.073741824e+09 at most"},
		"negative pass time":      {[2]string{`"id"`, `"pass": "-1ms", "id"`}, "a time that is not negative"},
		"load multiple below 1":   {[2]string{`"id"`, `"load": {"multiple": 0.5}, "id"`}, "want 1 or more"},
		"negative share":          {[2]string{`"id"`, `"rollout": {"share": -0.1}, "id"`}, `g.json:3: field "rollout.share": found -0.1; want a share above 0, and 1 at most`},
		"share above 1":           {[2]string{`"id"`, `"rollout": {"share": 10}, "id"`}, "want a share above 0, and 1 at most"},
		"negative slack":          {[2]string{`"id"`, `"rollout": {"slack": -1}, "id"`}, `field "rollout.slack": found -1; want 0 or more requests`},
		"negative rollback time":  {[2]string{`"id"`, `"rollout": {"rollback": "-5s"}, "id"`}, "a time that is not negative"},
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
				is.Equal(read.Rollout, settings.Rollout{Share: 0.1, Rollback: settings.Duration(5 * time.Second)})
				return
			}
			is.True(len(problems) > 0)
			is.True(strings.Contains(problems[0].String(), tc.want)) // says what is wanted
		})
	}
}

var (
	section     = regexp.MustCompile(`(?s)\{\{#([\w.]+)\}\}(.*?)\{\{/[\w.]+\}\}`)
	placeholder = regexp.MustCompile(`\{\{([\w.]+)\}\}`)
)

// render renders the subset of the platform's template syntax that the deployment template
// uses: a section is kept if its field is given.
func render(t *testing.T, template string, fields map[string]string) string {
	t.Helper()
	template = strings.ReplaceAll(template, `{{#seeds}}"{{.}}"{{,}}{{/seeds}}`, `"127.0.0.1:9"`)
	template = section.ReplaceAllStringFunc(template, func(found string) string {
		parts := section.FindStringSubmatch(found)
		if _, given := fields[parts[1]]; !given {
			return ""
		}
		return parts[2]
	})
	return placeholder.ReplaceAllStringFunc(template, func(found string) string {
		name := placeholder.FindStringSubmatch(found)[1]
		value, given := fields[name]
		if !given {
			t.Errorf("the template needs %q", name)
		}
		return value
	})
}

// TestDeploymentTemplate checks that the settings know every field that the template writes,
// and that a deployment may leave out any of the bounds.
func TestDeploymentTemplate(t *testing.T) {
	required := map[string]string{
		"listen.frontend": "127.0.0.1:1", "listen.ready": "127.0.0.1:2", "listen.control": "127.0.0.1:4",
		"platform.address": "127.0.0.1:3", "ip_address": "127.0.0.1", "internal_ports.0": "5",
		"node_name": "n", "zone": "z",
	}
	bounds := map[string]string{
		"bounds.strict_revocation": "true", "bounds.revocation_ms": "6000", "bounds.grace_period_s": "9",
		"bounds.capacity_multiple": "1.5", "bounds.config_apply_ms": "3000", "bounds.drain_timeout_ms": "1500",
		"bounds.retry_budget_ratio": "0.1", "bounds.retry_slack": "54", "bounds.retry_window_s": "12",
		"bounds.evacuation_ms": "4500", "bounds.cold_overage": "1.5", "bounds.cold_slack": "5",
		"bounds.exposure_share": "0.05", "bounds.exposure_slack": "50", "bounds.rollback_ms": "4000",
		"limits.cpu_share": "0.144", "limits.cores": "1.5", "limits.link_mbps": "10.0", "limits.memory_mb": "184", "bounds.pass_ms": "200",
	}
	text, err := os.ReadFile("../../deploy/gateway.json")
	is.New(t).NoErr(err)
	cases := map[string]struct {
		bounds map[string]string
		want   settings.Gateway
	}{
		"all": {bounds, settings.Gateway{
			Revocation: settings.Duration(6 * time.Second), Grace: settings.Duration(9 * time.Second),
			Pass:  settings.Duration(200 * time.Millisecond),
			Apply: settings.Duration(3 * time.Second), Leave: settings.Duration(1500 * time.Millisecond), Evacuate: settings.Duration(4500 * time.Millisecond),
			Host:    settings.Host{Share: 0.144, Cores: 1.5, LinkMbps: 10, MemoryMB: 184},
			Load:    settings.LoadBound{Multiple: 1.5, Extra: 3},
			Cold:    settings.ColdBound{Multiple: 1.5, Extra: 5},
			Retry:   settings.RetryBudget{Ratio: 0.1, Slack: 54, Window: settings.Duration(12 * time.Second)},
			Rollout: settings.Rollout{Share: 0.05, Slack: 50, Rollback: settings.Duration(4 * time.Second)},
		}},
		"a share only": {map[string]string{"bounds.exposure_share": "0.2"}, settings.Gateway{
			Grace: settings.Duration(8 * time.Second), Apply: settings.Duration(2 * time.Second), Leave: settings.Duration(2 * time.Second), Evacuate: settings.Duration(5 * time.Second),
			Host:    settings.Host{Cores: 1, MemoryMB: 128},
			Load:    settings.LoadBound{Multiple: 2, Extra: 3},
			Cold:    settings.ColdBound{Multiple: 1},
			Retry:   settings.RetryBudget{Ratio: 0.2, Window: settings.Duration(10 * time.Second)},
			Rollout: settings.Rollout{Share: 0.2, Rollback: settings.Duration(5 * time.Second)},
		}},
		"none": {nil, settings.Gateway{
			Grace: settings.Duration(8 * time.Second), Apply: settings.Duration(2 * time.Second), Leave: settings.Duration(2 * time.Second), Evacuate: settings.Duration(5 * time.Second),
			Host:    settings.Host{Cores: 1, MemoryMB: 128},
			Load:    settings.LoadBound{Multiple: 2, Extra: 3},
			Cold:    settings.ColdBound{Multiple: 1},
			Retry:   settings.RetryBudget{Ratio: 0.2, Window: settings.Duration(10 * time.Second)},
			Rollout: settings.Rollout{Share: 0.1, Rollback: settings.Duration(5 * time.Second)},
		}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.True(len(text) < 64<<10)
			fields := maps.Clone(required)
			maps.Copy(fields, tc.bounds)
			read, problems := settings.ParseGateway("gateway.json", []byte(render(t, string(text), fields)))
			is.Equal(problems, nil)
			is.Equal(read.Revocation, tc.want.Revocation)
			is.Equal(read.Grace, tc.want.Grace)
			is.Equal(read.Pass, tc.want.Pass)
			is.Equal(read.Apply, tc.want.Apply)
			is.Equal(read.Leave, tc.want.Leave)
			is.Equal(read.Evacuate, tc.want.Evacuate)
			is.Equal(read.Host, tc.want.Host)
			is.Equal(read.Load, tc.want.Load)
			is.Equal(read.Cold, tc.want.Cold)
			is.Equal(read.Retry, tc.want.Retry)
			is.Equal(read.Rollout, tc.want.Rollout)
		})
	}
}

func FuzzParseGateway(f *testing.F) {
	f.Add([]byte(gateway))
	f.Fuzz(func(t *testing.T, data []byte) {
		read, problems := settings.ParseGateway("g.json", data)
		if len(problems) == 0 && read.Role != "gateway" {
			t.Fatalf("accepted: %+v", read)
		}
	})
}
