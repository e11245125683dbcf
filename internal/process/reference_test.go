package process

import (
	"encoding/json"
	"io"
	"net/http"
	"os"
	"reflect"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/capersaddle/capersaddle/internal/balance"
	"github.com/capersaddle/capersaddle/internal/gateway"
	"github.com/capersaddle/capersaddle/internal/observe"
	"github.com/capersaddle/capersaddle/internal/rollout"
	"github.com/capersaddle/capersaddle/internal/secure"
	"github.com/capersaddle/capersaddle/internal/settings"
)

// fieldNames lists the JSON names of all settings; names of nested fields are joined with dots.
func fieldNames(t reflect.Type, prefix string) []string {
	var names []string
	for i := range t.NumField() {
		field := t.Field(i)
		name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		inner := field.Type
		if inner.Kind() == reflect.Slice {
			inner = inner.Elem()
		}
		if inner.Kind() == reflect.Struct {
			names = append(names, fieldNames(inner, prefix+name+".")...)
			continue
		}
		names = append(names, prefix+name)
	}
	return names
}

// documentedNames lists the names in the first column of a page's tables.
func documentedNames(t *testing.T, page string) []string {
	text, err := os.ReadFile("../../docs/" + page)
	is.New(t).NoErr(err)
	var names []string
	for _, found := range regexp.MustCompile("(?m)^\\| `([^`]+)` \\|").FindAllStringSubmatch(string(text), -1) {
		names = append(names, found[1])
	}
	slices.Sort(names)
	return names
}

func comparePage(t *testing.T, page string, inCode []string) {
	inPage := documentedNames(t, page)
	for _, name := range inCode {
		if !slices.Contains(inPage, name) {
			t.Errorf("docs/%s does not name %s", page, name)
		}
	}
	for _, name := range inPage {
		if !slices.Contains(inCode, name) {
			t.Errorf("docs/%s names %s, which does not exist", page, name)
		}
	}
}

func TestSettingsPageIsComplete(t *testing.T) {
	comparePage(t, "SETTINGS.md", fieldNames(reflect.TypeFor[settings.Settings](), ""))
}

func TestGatewaySettingsPageIsComplete(t *testing.T) {
	comparePage(t, "GATEWAY.md", fieldNames(reflect.TypeFor[settings.Gateway](), ""))
}

// TestLogsPageIsComplete checks that the page names each event of the closed list.
func TestLogsPageIsComplete(t *testing.T) {
	text, err := os.ReadFile("../../docs/LOGS.md")
	is.New(t).NoErr(err)
	for _, event := range observe.Events() {
		if !strings.Contains(string(text), "`"+event+"`") {
			t.Errorf("docs/LOGS.md does not name %s", event)
		}
	}
}

// TestRequestLogFields fails if the log line of a request lacks a field that the page names.
func TestRequestLogFields(t *testing.T) {
	var out strings.Builder
	observer := observe.New(NewLogger(&out, settings.Log{Format: "json"}), observe.NewMetrics(prometheus.NewRegistry()))
	observer.Request(&gateway.RequestRecord{ID: "r", Ending: gateway.EndingAnswered, Attempts: []gateway.AttemptRecord{{Target: "t", Outcome: "answered", Ejected: true}}})
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	is.New(t).Equal(len(lines), 2) // the ejection and the request
	var fields map[string]any
	is.New(t).NoErr(json.Unmarshal([]byte(lines[1]), &fields))
	for _, name := range []string{"time", "level", "msg", "id", "ending", "status", "route", "kind", "workspace", "service", "session", "resumes", "last_event", "stream_version", "origin", "origin_ms", "origin_proof_ms", "print", "held_part", "config", "proof_ms", "stop_ms", "first_ms", "took_ms", "no_retry", "attempts"} {
		if _, ok := fields[name]; !ok {
			t.Errorf("the log line of a request lacks %s", name)
		}
	}
}

func TestGatewayMetricsPageIsComplete(t *testing.T) {
	registry := prometheus.NewRegistry()
	metrics := observe.NewMetrics(registry)
	zero := func() float64 { return 0 }
	observe.RegisterGauges(registry, observe.Gauges{ProofAge: zero, Peers: zero, Sent: zero, Received: zero, InFlight: zero, Waiting: zero, MemoryLimit: zero, Lag: zero, Resting: zero, Leaving: zero, Evacuated: zero, HeldBack: zero, Held: zero, NewStreamRecords: zero, HandedOverStreamRecords: zero, UnneededStreamRecords: zero})
	observe.RegisterRollouts(registry, func() []rollout.Status {
		return []rollout.Status{{Service: "s", Version: "v2", State: rollout.Running}}
	})
	// A series is exported only once it has been used.
	observer := observe.New(log.New(io.Discard), metrics)
	observer.Request(&gateway.RequestRecord{TimeToHead: 1, HolderLookup: balance.Answered, OriginSource: gateway.OriginSole, RetryDenial: gateway.DeniedBudget, Attempts: []gateway.AttemptRecord{{Source: balance.SourceHeld, Version: "v2", Outcome: "lost"}, {Outcome: "lost"}}})
	observer.Notice(&gateway.NoticeRecord{Change: balance.NoticeChange{Leaving: true}})
	observer.HealthAsked(gateway.HealthAnswered)
	observer.CallerConnectionEnded("idle")
	observer.StoreCalled("watch", nil)
	observer.ReplicaFetched("p", 1, 2, nil)
	families, err := registry.Gather()
	is.New(t).NoErr(err)
	var inCode []string
	for _, family := range families {
		inCode = append(inCode, family.GetName())
	}
	comparePage(t, "METRICS-GATEWAY.md", inCode)
}

func testSettings(role string) *settings.Settings {
	s := &settings.Settings{
		Role: role, ID: role + "-0", DataCenter: "accra-1", Operators: "127.0.0.1:0", Link: "127.0.0.1:0",
		Beat: "127.0.0.1:0", Store: "http://127.0.0.1:1",
	}
	if role == "router" {
		s.Callers = "127.0.0.1:0"
	} else {
		s.Targets = []settings.Target{{ID: "topup-0", Kind: "service", Pool: "topup", URL: "http://127.0.0.1:1"}}
	}
	return s
}

func startProcess(t *testing.T, s *settings.Settings) Process {
	p, err := New(t.Context(), s, log.New(io.Discard))
	is.New(t).NoErr(err)
	is.New(t).NoErr(p.Start(t.Context()))
	t.Cleanup(func() { is.New(t).NoErr(p.Close()) })
	return p
}

func TestMetricsPageIsComplete(t *testing.T) {
	var inCode []string
	for _, role := range []string{"router", "agent"} {
		p := startProcess(t, testSettings(role))
		if r, ok := p.(*routerProcess); ok {
			// A series is exported only once it has been used.
			m := r.metrics
			m.Request("w", "urgent", "overloaded", 1)
			m.First("w", "urgent", 1)
			m.Retry("overloaded")
		}
		response, err := http.Get("http://" + p.Addresses().Operators + "/metrics")
		is.New(t).NoErr(err)
		text, _ := io.ReadAll(response.Body)
		_ = response.Body.Close()
		for _, found := range regexp.MustCompile(`(?m)^# TYPE (capersaddle_\w+)`).FindAllStringSubmatch(string(text), -1) {
			inCode = append(inCode, found[1])
		}
	}
	slices.Sort(inCode)
	comparePage(t, "METRICS.md", slices.Compact(inCode))
}

// TestOperatorsKey checks that the operators' key is required if the settings name one.
func TestOperatorsKey(t *testing.T) {
	is := is.New(t)
	s := testSettings("router")
	s.OperatorKeyHash = "2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b" // of "secret"
	p := startProcess(t, s)
	status := func(key string) int {
		request, err := http.NewRequest(http.MethodGet, "http://"+p.Addresses().Operators+"/operator/v1/status", nil)
		is.NoErr(err)
		request.Header.Set("Authorization", "Bearer "+key)
		response, err := http.DefaultClient.Do(request)
		is.NoErr(err)
		_ = response.Body.Close()
		return response.StatusCode
	}
	is.Equal(status("secret"), http.StatusOK)
	is.Equal(status("guess"), http.StatusUnauthorized)
	is.Equal(status(""), http.StatusUnauthorized)
}

// TestOperatorsRoles checks that, with TLS on the operators' address, the certificate determines
// what a caller may do.
func TestOperatorsRoles(t *testing.T) {
	authority, err := secure.NewAuthority()
	is.New(t).NoErr(err)
	own, err := authority.Issue("router-0", secure.RoleRouter, time.Hour)
	is.New(t).NoErr(err)
	s := testSettings("router")
	s.TLS = settings.TLS{CA: own.CA, Cert: own.Cert, Key: own.Key, Operators: true}
	p := startProcess(t, s)
	tests := map[string]struct {
		role   string
		path   string
		status int
	}{
		"reader may query":            {secure.RoleRead, "/query", http.StatusOK},
		"reader may not execute":      {secure.RoleRead, "/exec", http.StatusForbidden},
		"operator may execute":        {secure.RoleOperate, "/exec", http.StatusServiceUnavailable},
		"operator may not republish":  {secure.RoleOperate, "/republish", http.StatusForbidden},
		"administrator may republish": {secure.RoleAdminister, "/republish", http.StatusServiceUnavailable},
		"other process is rejected":   {secure.RoleAgent, "/query", 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			source, err := authority.Issue("ama", tt.role, time.Hour)
			is.NoErr(err)
			keys, err := secure.Load(source)
			is.NoErr(err)
			transport := &http.Transport{TLSClientConfig: keys.Client(secure.RoleRouter)}
			defer transport.CloseIdleConnections()
			bodies := map[string]string{"/query": `{"text":"routers"}`, "/exec": `{"id":"a","text":"create model m"}`, "/republish": `{"id":"a"}`}
			status := 0
			url := "https://" + p.Addresses().Operators + "/operator/v1" + tt.path
			response, err := (&http.Client{Transport: transport}).Post(url, "application/json", strings.NewReader(bodies[tt.path]))
			if err == nil {
				status = response.StatusCode
				_ = response.Body.Close()
			}
			is.Equal(status, tt.status)
		})
	}
}

// TestOperatorsWithoutStore checks that queries are answered and changes refused while the store
// is down.
func TestOperatorsWithoutStore(t *testing.T) {
	is := is.New(t)
	p := startProcess(t, testSettings("router"))
	post := func(path string, body any) (int, string) {
		data, _ := json.Marshal(body)
		response, err := http.Post("http://"+p.Addresses().Operators+"/operator/v1"+path, "application/json", strings.NewReader(string(data)))
		is.NoErr(err)
		text, _ := io.ReadAll(response.Body)
		_ = response.Body.Close()
		return response.StatusCode, string(text)
	}
	status, text := post("/query", QueryRequest{Text: "routers"})
	is.Equal(status, http.StatusOK)
	is.True(strings.Contains(text, "router-0"))
	status, text = post("/query", QueryRequest{Text: "history"})
	is.Equal(status, http.StatusOK)
	is.True(strings.Contains(text, "missing"))
	status, text = post("/exec", Script{ID: "a", Text: "create model m"})
	is.Equal(status, http.StatusServiceUnavailable)
	is.True(strings.Contains(text, "nothing was changed"))
	status, _ = post("/exec", Script{ID: "a", Text: "mark target nobody-has"})
	is.Equal(status, http.StatusConflict)
}
