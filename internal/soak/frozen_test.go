package soak

import (
	"bufio"
	"fmt"
	"net/http"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/capersaddle/capersaddle/internal/emulator"
)

// TestStreamsAfterFreeze guards against streams with events of two versions at gateways that stood still
// while a version came and went: they took the one that they knew before and after for the only one.
func TestStreamsAfterFreeze(t *testing.T) {
	const (
		gateways, running = 5, 2
		// certainAfter is longer than a gateway takes to be certain that there is one version.
		certainAfter = 12 * time.Second
		streams      = 24
	)
	is := is.New(t)
	binary := filepath.Join(t.TempDir(), "capersaddle")
	out, err := exec.Command("go", "build", "-o", binary, "../../cmd/capersaddle").CombinedOutput()
	if err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	s := &soak{t: t, binary: binary, seed: 1, grace: stopGrace}
	s.startVersionedSystem(gateways, 1)
	defer s.stopSystem()
	time.Sleep(certainAfter)
	for _, g := range s.gateways[running:] {
		g.signal(syscall.SIGSTOP)
	}
	var passing []*emulator.Server
	for i := range serversOfVersion {
		passing = append(passing, s.addVersionedServer("passing", i))
	}
	var began []string
	for number := 0; len(began) < streams && number < 50*streams; number++ {
		id := fmt.Sprintf("began-%d", number)
		if version, _ := s.readEvent(s.gateways[number%running], id, ""); version == "passing" {
			began = append(began, id)
		}
		time.Sleep(10 * time.Millisecond)
	}
	is.Equal(len(began), streams)
	time.Sleep(4 * time.Second)
	for _, server := range passing {
		s.platform.Leave(server)
		_ = server.Close()
	}
	time.Sleep(time.Second)
	s.platform.Store.Compact() // it may forget its history at any time
	for _, g := range s.gateways[running:] {
		g.signal(syscall.SIGCONT)
	}
	time.Sleep(time.Second) // they get a proof of what is listed now
	mixed, answers := 0, make(map[string]int)
	for number, id := range began {
		g := s.gateways[running+number%(gateways-running)]
		version, status := s.readEvent(g, "again-"+id, id)
		answers[fmt.Sprint(status, " ", version)]++
		if version != "" && version != "passing" {
			mixed++
		}
		time.Sleep(50 * time.Millisecond)
	}
	t.Logf("%d of %d streams went on at another version: %v", mixed, streams, answers)
	is.Equal(mixed, 0)
}

// readEvent requests a stream, or resumes one after its first event, reads an event and closes the
// connection. It returns the version of the event, empty if there is none.
func (s *soak) readEvent(g *gateway, id, resumes string) (version string, status int) {
	request, err := http.NewRequestWithContext(s.t.Context(), http.MethodPost, "http://"+g.callers+"/chat/1", http.NoBody)
	if err != nil {
		s.t.Fatal(err)
	}
	request.Host = host
	request.Header.Set("X-Attempt-Id", id)
	request.Header.Set("X-Prompt-Prefix", fmt.Sprintf("%x:200", id))
	if resumes != "" {
		request.Header.Set("Resumes", resumes)
		request.Header.Set("Last-Event-Id", "1")
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 5 * time.Second}
	response, err := client.Do(request)
	if err != nil {
		return "", 0
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return "", response.StatusCode
	}
	reader := bufio.NewReader(response.Body)
	for line := ""; err == nil; line, err = reader.ReadString('\n') {
		if _, version, ok := strings.Cut(line, " of "); ok {
			return strings.TrimSpace(version), response.StatusCode
		}
	}
	return "", response.StatusCode
}
