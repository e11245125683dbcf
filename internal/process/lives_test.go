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

// promptsHeld is how many prompts a gateway has sent to targets that it took to hold them.
func (f *fleet) promptsHeld(t *testing.T, gateway int) int {
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
	found := regexp.MustCompile(`capersaddle_gateway_prompts_total\{source="held"\} (\d+)`).FindSubmatch(text)
	if found == nil {
		return 0
	}
	count, _ := strconv.Atoi(string(found[1]))
	return count
}

// TestATargetThatBeginsAgainHoldsNothing: it comes back at its address and under its id, and
// was taken to hold the prompts of its life before, by the gateway that sent them and by
// those that had heard of it.
func TestATargetThatBeginsAgainHoldsNothing(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 0)
	for _, server := range f.engines {
		f.platform.Leave(server)
	}
	only, err := f.platform.AddServer("engine", "zone", "127.0.0.1:0", emulator.ServerOptions{ID: "again", Events: 3, KeepsID: true})
	is.NoErr(err)
	var seeds []string
	for i := range 2 {
		f.gateways = append(f.gateways, f.gateway(t, gatewayName(i), seeds))
		seeds = append(seeds, f.gateways[i].Addresses().Link)
	}
	for _, gateway := range f.gateways {
		eventually(t, "a gateway is ready", gateway.Ready)
	}
	const prompt = "aa:100,bb:2000,cc:10"
	ask := func(gateway int, id string) bool {
		got := f.callWithPrompt(gateway, http.MethodPost, "/chat/1", id, "key-1", prompt)
		return got.err == nil && got.status == http.StatusOK
	}
	is.True(ask(0, "first"))
	number := 0
	for gateway := range f.gateways {
		eventually(t, "a gateway knows who holds the prompt", func() bool {
			number++
			before := f.promptsHeld(t, gateway)
			return ask(gateway, fmt.Sprintf("next-%d", number)) && f.promptsHeld(t, gateway) > before
		})
	}
	next, err := f.platform.Restart(only)
	is.NoErr(err)
	eventually(t, "the new life is known to both", func() bool {
		return f.linesCount(`"msg":"target_changed"`, `"target":"again"`) >= 2
	})
	for gateway := range f.gateways {
		held := f.promptsHeld(t, gateway)
		is.True(ask(gateway, fmt.Sprintf("after-%d", gateway)))
		if gateway == 0 {
			is.Equal(f.promptsHeld(t, gateway), held) // the new life was taken to hold the prompt
		}
	}
	is.Equal(len(next.Runs()), len(f.gateways))
}

// linesCount counts the lines of the log that have all of some texts.
func (f *fleet) linesCount(texts ...string) int {
	count := 0
	for line := range strings.Lines(f.log.String()) {
		if !slices.ContainsFunc(texts, func(text string) bool { return !strings.Contains(line, text) }) {
			count++
		}
	}
	return count
}
