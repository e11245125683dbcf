package process_test

import (
	"fmt"
	"io"
	"net/http"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/capersaddle/capersaddle/internal/emulator"
)

// heldPromptCount returns how many prompts a gateway has sent to targets that it expected to hold
// them.
func (f *fleet) heldPromptCount(t *testing.T, gateway int) int {
	t.Helper()
	response, err := http.Get("http://" + f.gateways[gateway].Addresses().Operators + "/metrics")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	match := regexp.MustCompile(`capersaddle_gateway_prompts_total\{source="held"\} (\d+)`).FindSubmatch(text)
	if match == nil {
		return 0
	}
	count, _ := strconv.Atoi(string(match[1]))
	return count
}

// TestRestartedTargetHoldsNoPrompts guards against outdated placements: a target that restarted
// under the same address and ID was expected to hold the prompts of its previous instance, by the
// gateway that had sent them and by those that had learned of it.
func TestRestartedTargetHoldsNoPrompts(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 0)
	for _, server := range f.engines {
		f.platform.Leave(server)
	}
	target, err := f.platform.AddServer("engine", "zone", "127.0.0.1:0", emulator.ServerOptions{ID: "again", Events: 3, KeepsID: true})
	is.NoErr(err)
	f.startGateways(t, 2)
	const prompt = "aa:100,bb:2000,cc:10"
	ask := func(gateway int, id string) bool {
		got := f.callWithPrompt(gateway, http.MethodPost, "/chat/1", id, "key-1", prompt)
		return got.err == nil && got.status == http.StatusOK
	}
	is.True(ask(0, "first"))
	number := 0
	for gateway := range f.gateways {
		eventually(t, "the gateway knows which target holds the prompt", func() bool {
			number++
			before := f.heldPromptCount(t, gateway)
			return ask(gateway, fmt.Sprintf("next-%d", number)) && f.heldPromptCount(t, gateway) > before
		})
	}
	restarted, err := f.platform.Restart(target)
	is.NoErr(err)
	eventually(t, "both gateways know of the restart", func() bool {
		return f.countLogLines(`"msg":"target_changed"`, `"target":"again"`) >= 2
	})
	for gateway := range f.gateways {
		held := f.heldPromptCount(t, gateway)
		is.True(ask(gateway, fmt.Sprintf("after-%d", gateway)))
		if gateway == 0 {
			is.Equal(f.heldPromptCount(t, gateway), held) // fails if the restarted target is expected to hold the prompt
		}
	}
	is.Equal(len(restarted.Runs()), len(f.gateways))
}

// countLogLines counts the log lines that contain all the given texts.
func (f *fleet) countLogLines(texts ...string) int {
	count := 0
	for line := range strings.Lines(f.log.String()) {
		if !slices.ContainsFunc(texts, func(text string) bool { return !strings.Contains(line, text) }) {
			count++
		}
	}
	return count
}
