package e2e

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/matryer/is"

	"github.com/capersaddle/capersaddle/internal/config"
	"github.com/capersaddle/capersaddle/internal/loopback"
)

const (
	apiKey = "e2e-key"
	// waitTimeout only detects a hang; no check depends on speed.
	waitTimeout = 90 * time.Second
)

var (
	buildOnce sync.Once
	binary    string
	buildErr  error
)

// build builds the binary once for all tests.
func build(t testing.TB) string {
	buildOnce.Do(func() {
		dir, err := os.MkdirTemp("", "capersaddle-e2e")
		if err != nil {
			buildErr = err
			return
		}
		binary = filepath.Join(dir, "capersaddle")
		out, err := exec.Command("go", "build", "-o", binary, "../../cmd/capersaddle").CombinedOutput()
		if err != nil {
			buildErr = fmt.Errorf("build: %w\n%s", err, out)
		}
	})
	is.New(t).NoErr(buildErr)
	return binary
}

func TestMain(m *testing.M) {
	code := m.Run()
	_ = ports.Close()
	if binary != "" {
		_ = os.RemoveAll(filepath.Dir(binary))
	}
	os.Exit(code)
}

// child is a process of the system under test.
type child struct {
	t    testing.TB
	cmd  *exec.Cmd
	log  *bytes.Buffer
	done chan struct{}
}

func (f *fixture) start(args ...string) *child {
	c := &child{t: f.t, cmd: exec.Command(f.binary, args...), log: new(bytes.Buffer), done: make(chan struct{})}
	c.cmd.Stdout, c.cmd.Stderr = c.log, c.log
	is.New(f.t).NoErr(c.cmd.Start())
	go func() {
		_ = c.cmd.Wait()
		close(c.done)
	}()
	f.t.Cleanup(func() {
		c.signal(syscall.SIGCONT)
		c.signal(syscall.SIGKILL)
		<-c.done
		if f.t.Failed() {
			f.t.Logf("%s:\n%s", strings.Join(args, " "), c.log)
		}
	})
	return c
}

func (c *child) signal(s syscall.Signal) { _ = c.cmd.Process.Signal(s) }

// fixture is a small system of real processes on loopback.
type fixture struct {
	t       testing.TB
	binary  string
	dir     string
	store   string
	agents  map[string]*child
	routers map[string]*child
	// callers and operators are the routers' addresses, by router ID.
	callers    map[string]string
	operators  map[string]string
	seed       string
	targetURLs map[string]string
	engines    map[string]*child
	// agentLink is the link address of the last agent.
	agentLink string
	// admission holds the agents' admission settings.
	admission map[string]any
}

// ports is shared by all tests of the package.
var ports loopback.Ports

// freePort returns an address that no other process uses.
func (f *fixture) freePort() string {
	address, err := ports.Address()
	is.New(f.t).NoErr(err)
	return address
}

func newFixture(t testing.TB) *fixture {
	f := &fixture{
		t: t, binary: build(t), dir: t.TempDir(),
		agents: make(map[string]*child), routers: make(map[string]*child),
		callers: make(map[string]string), operators: make(map[string]string),
		targetURLs: make(map[string]string), engines: make(map[string]*child), admission: make(map[string]any),
	}
	f.store = f.freePort()
	f.start("fake", "store", "--listen", f.store)
	f.seed = f.freePort()
	return f
}

func (f *fixture) writeSettings(role, id string, extra map[string]any) string {
	settings := map[string]any{
		"role": role, "id": id, "data_center": "accra-1", "operators": f.freePort(),
		"link": f.freePort(), "beat": f.freePort(), "seeds": []string{f.seed},
		"store": "http://" + f.store, "log": map[string]any{"level": "info"},
		"admission": f.admission, "cache": map[string]any{}, "once": map[string]any{}, "membership": map[string]any{},
	}
	for name, value := range extra {
		settings[name] = value
	}
	data, _ := json.Marshal(settings)
	file := filepath.Join(f.dir, id+".json")
	is.New(f.t).NoErr(os.WriteFile(file, data, 0o600))
	return file
}

func (f *fixture) addRouter(id string) {
	address := f.freePort()
	operators := f.freePort()
	extra := map[string]any{"callers": address, "operators": operators}
	if len(f.routers) == 0 {
		extra["beat"] = f.seed
	}
	f.routers[id] = f.start("router", f.writeSettings("router", id, extra))
	f.callers[id], f.operators[id] = address, operators
}

func (f *fixture) addEngine(id string, flags ...string) {
	address := f.freePort()
	f.targetURLs[id] = "http://" + address
	f.engines[id] = f.start(append([]string{"fake", "engine", "--listen", address, "--name", id, "--model", "m"}, flags...)...)
	f.addAgent(id, "engine", "m")
}

func (f *fixture) addService(id string) {
	address := f.freePort()
	f.targetURLs[id] = "http://" + address
	f.start("fake", "service", "--listen", address, "--name", id)
	f.addAgent(id, "service", "topup")
}

func (f *fixture) addAgent(id, kind, pool string) {
	targets := []map[string]any{{"id": id, "kind": kind, "pool": pool, "url": f.targetURLs[id]}}
	f.agentLink = f.freePort()
	f.agents[id] = f.start("agent", f.writeSettings("agent", "host-of-"+id, map[string]any{"targets": targets, "link": f.agentLink}))
}

// waitUntil waits for a condition and fails the test after waitTimeout.
func (f *fixture) waitUntil(what string, condition func() bool) {
	f.t.Helper()
	deadline := time.Now().Add(waitTimeout)
	ticker := time.NewTicker(50 * time.Millisecond)
	defer ticker.Stop()
	for !condition() {
		if time.Now().After(deadline) {
			f.t.Fatalf("timed out waiting: %s", what)
		}
		<-ticker.C
	}
}

// configure applies the configuration through a router.
func (f *fixture) configure(id string) {
	document := func(name string, value any) config.Change {
		data, _ := json.Marshal(value)
		return config.Change{Name: name, Value: data}
	}
	command, _ := json.Marshal(config.Command{ID: uuid.NewString(), Changes: []config.Change{
		document("workspace/clinic", config.Workspace{KeyHashes: []string{config.HashKey(apiKey)}}),
		document("model/m", config.Model{}),
		document("service/topup", config.Service{NotRepeatable: []string{"/credit"}}),
	}})
	f.waitUntil("the first configuration is accepted", func() bool {
		response, err := http.Post("http://"+f.operators[id]+"/operator/v1/command", "application/json", bytes.NewReader(command))
		if err != nil {
			return false
		}
		defer func() { _ = response.Body.Close() }()
		return response.StatusCode == http.StatusOK
	})
}

// httpResult is an HTTP response; err is set if it is incomplete.
type httpResult struct {
	status int
	header http.Header
	body   string
	err    error
}

func (f *fixture) send(id, path string, header map[string]string, body string) httpResult {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+f.callers[id]+path, strings.NewReader(body))
	is.New(f.t).NoErr(err)
	request.Header.Set("Authorization", "Bearer "+apiKey)
	for name, value := range header {
		request.Header.Set(name, value)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return httpResult{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return httpResult{status: response.StatusCode, header: response.Header, body: string(data), err: err}
}

func (f *fixture) chat(id string, tokens int) httpResult {
	return f.send(id, "/v1/chat/completions", nil, `{"model":"m","stream":true,"max_tokens":`+strconv.Itoa(tokens)+`,"messages":[{"role":"user","content":"hello"}]}`)
}

func (f *fixture) topUp(id, key string) httpResult {
	return f.send(id, "/v1/services/topup/credit", map[string]string{"Idempotency-Key": key}, "{}")
}

func newKey() string { return uuid.Must(uuid.NewV7()).String() }

func isCompleteChat(r httpResult, tokens int) bool {
	return r.err == nil && strings.Contains(r.body, "[DONE]") && strings.Count(r.body, `"content":`) >= tokens
}
