package dev

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/capersaddle/capersaddle/internal/config"
	"github.com/capersaddle/capersaddle/internal/fault"
	"github.com/capersaddle/capersaddle/internal/process"
	"github.com/capersaddle/capersaddle/internal/router"
	"github.com/capersaddle/capersaddle/internal/target/fakeengine"
)

// Step is the result of one step of the story.
type Step struct {
	Name string        `json:"name"`
	Held bool          `json:"held"`
	Seen string        `json:"seen"`
	Took time.Duration `json:"took_ns"`
}

// stepTimeout limits the duration of one step.
const stepTimeout = 30 * time.Second

// storyRunner runs the story against a stack.
type storyRunner struct {
	stack *Stack
	// firstChat is the response to the first chat, which the returning chat builds on.
	firstChat chatStream
}

// RunStory runs all steps of the story over real HTTP and returns what was observed.
func RunStory(ctx context.Context, stack *Stack) []Step {
	t := &storyRunner{stack: stack}
	steps := []struct {
		name string
		run  func(context.Context) (string, error)
	}{
		{"a streamed chat", t.streamedChat},
		{"its return hits the prefix cache", t.returningChat},
		{"a broken stream is resumed whole", t.brokenStream},
		{"a top-up sent twice through two routers runs once", t.duplicateTopUp},
		{"a planned stop cuts nothing in flight", t.plannedStop},
		{"a change is in force on every router", t.configChange},
		{"the store goes and serving goes on", t.storeOutage},
		{"a refusal was not run", t.refusedRequest},
	}
	var table []Step
	for _, step := range steps {
		stepCtx, cancel := context.WithTimeout(ctx, stepTimeout)
		start := time.Now()
		seen, err := step.run(stepCtx)
		cancel()
		if err != nil {
			seen = err.Error()
		}
		table = append(table, Step{Name: step.name, Held: err == nil, Seen: seen, Took: time.Since(start)})
	}
	return table
}

func (t *storyRunner) client(i int) *client {
	return newClient(t.stack.Routers[i].Addresses().Callers)
}

func ignorePieces(int) {}

// longQuestion is long enough to fill blocks of the prefix cache.
func longQuestion() string {
	return strings.Repeat("what did meter 4711 use in each week of the last year and why ", 12)
}

func (t *storyRunner) streamedChat(ctx context.Context) (string, error) {
	got, err := t.client(0).chat(ctx, chatBody(24, message("user", longQuestion())), "", ignorePieces)
	if err != nil {
		return "", err
	}
	if !got.done || got.finish != "length" || got.pieces != 24 || got.usage.CompletionTokens != 24 {
		return "", errors.Newf("incomplete chat: %+v", got)
	}
	t.firstChat = got
	return fmt.Sprintf("%d pieces from %s, finish %s", got.pieces, got.placement, got.finish), nil
}

func (t *storyRunner) returningChat(ctx context.Context) (string, error) {
	body := chatBody(8, message("user", longQuestion()), message("assistant", t.firstChat.text), message("user", "and today?"))
	// This request goes to another router and carries no placement token, so only the
	// rendezvous order leads it to the engine.
	got, err := t.client(1).chat(ctx, body, "", ignorePieces)
	if err != nil {
		return "", err
	}
	cached := got.usage.PromptTokensDetails.CachedTokens
	if got.placement != t.firstChat.placement || cached == 0 {
		return "", errors.Newf("routed to %s with %d tokens cached, but the first chat was on %s", got.placement, cached, t.firstChat.placement)
	}
	return fmt.Sprintf("%s again, %d of %d prompt tokens cached", got.placement, cached, got.usage.PromptTokens), nil
}

func (t *storyRunner) brokenStream(ctx context.Context) (string, error) {
	body := chatBody(30, message("user", "a question whose first engine breaks"))
	complete, err := t.client(0).chat(ctx, body, "", ignorePieces)
	if err != nil {
		return "", err
	}
	t.stack.Engines[complete.placement].Inject(fakeengine.Fault{CutAfter: 7})
	got, err := t.client(0).chat(ctx, body, "", ignorePieces)
	if err != nil {
		return "", err
	}
	if got.text != complete.text || !got.done {
		return "", errors.Newf("the text differs after the stream broke: %q and %q", complete.text, got.text)
	}
	return fmt.Sprintf("%s broke after 7 pieces, all %d came once and in order", complete.placement, got.pieces), nil
}

func (t *storyRunner) countEffects(key string) int {
	count := 0
	for _, server := range t.stack.Services {
		for _, effect := range server.Effects() {
			if effect.Key == key {
				count++
			}
		}
	}
	return count
}

func (t *storyRunner) duplicateTopUp(ctx context.Context) (string, error) {
	key := uuid.Must(uuid.NewV7()).String()
	answers := make(chan httpResult, 2)
	failures := make(chan error, 2)
	for i := range 2 {
		go func() {
			got, err := t.client(i).topUp(ctx, key, "4711")
			answers <- got
			failures <- err
		}()
	}
	first, second := <-answers, <-answers
	if err := errors.CombineErrors(<-failures, <-failures); err != nil {
		return "", err
	}
	ran := t.countEffects(key)
	if ran != 1 || first.body != second.body || first.status != http.StatusOK {
		return "", errors.Newf("ran %d times; answers %d %s and %d %s", ran, first.status, first.body, second.status, second.body)
	}
	return "ran once, both got " + first.body, nil
}

// command sends an operator command to the first router.
func (t *storyRunner) command(ctx context.Context, changes ...config.Change) (config.Result, error) {
	data, err := json.Marshal(config.Command{ID: uuid.NewString(), Operator: "story", Changes: changes})
	if err != nil {
		return config.Result{}, err
	}
	url := "http://" + t.stack.Routers[0].Addresses().Operators + "/operator/v1/command"
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(data))
	if err != nil {
		return config.Result{}, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return config.Result{}, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		var refused process.OperatorError
		_ = json.NewDecoder(response.Body).Decode(&refused)
		return config.Result{}, fault.New(refused.Kind, refused.RunState, "%s", refused.Message)
	}
	var result config.Result
	err = json.NewDecoder(response.Body).Decode(&result)
	return result, err
}

func (t *storyRunner) plannedStop(ctx context.Context) (string, error) {
	markedEngine := ""
	body := chatBody(400, message("user", "a long answer that is under way when its engine is to stop"))
	var markErr error
	probe, err := t.client(0).chat(ctx, chatBody(1, message("user", "a long answer that is under way when its engine is to stop")), "", ignorePieces)
	if err != nil {
		return "", err
	}
	got, err := t.client(0).chat(ctx, body, "", func(pieces int) {
		if pieces == 5 && markedEngine == "" {
			markedEngine = probe.placement
			_, markErr = t.command(ctx, config.Change{Name: "mark/" + markedEngine, Value: json.RawMessage(`{"leaving":true}`)})
		}
	})
	if err := errors.CombineErrors(err, markErr); err != nil {
		return "", err
	}
	if got.placement != markedEngine || got.pieces != 400 || !got.done {
		return "", errors.Newf("%d pieces from %s, marked was %s", got.pieces, got.placement, markedEngine)
	}
	after, err := t.client(2).chat(ctx, chatBody(3, message("user", "a long answer that is under way when its engine is to stop")), markedEngine, ignorePieces)
	if err != nil {
		return "", err
	}
	if after.placement == markedEngine {
		return "", errors.Newf("%s got new work after it was marked as leaving", markedEngine)
	}
	return fmt.Sprintf("%s finished all %d pieces; the chat's next request went to %s", markedEngine, got.pieces, after.placement), nil
}

func (t *storyRunner) configChange(ctx context.Context) (string, error) {
	start := time.Now()
	result, err := t.command(ctx, config.Change{Name: "workspace/kitchen", Value: json.RawMessage(`{"key_hashes":["` + config.HashKey("kitchen-key") + `"]}`)})
	if err != nil {
		return "", err
	}
	for _, r := range t.stack.Routers {
		err := waitUntil(ctx, func() bool {
			status, err := operatorGet[process.Status](ctx, r, "/status")
			return err == nil && status.ConfigRevision >= result.Revision
		})
		if err != nil {
			return "", err
		}
	}
	return fmt.Sprintf("revision %d on all %d routers after %v", result.Revision, len(t.stack.Routers), time.Since(start).Round(time.Millisecond)), nil
}

func (t *storyRunner) storeOutage(ctx context.Context) (string, error) {
	t.stack.Store.SetAway(true)
	defer t.stack.Store.SetAway(false)
	got, err := t.client(1).chat(ctx, chatBody(5, message("user", "served without the store")), "", ignorePieces)
	if err != nil {
		return "", err
	}
	key := uuid.Must(uuid.NewV7()).String()
	topUp, err := t.client(2).topUp(ctx, key, "4712")
	if err != nil {
		return "", err
	}
	if !got.done || topUp.status != http.StatusOK {
		return "", errors.Newf("chat %+v, top-up %d %s", got, topUp.status, topUp.body)
	}
	_, err = t.command(ctx, config.Change{Name: "workspace/nobody"})
	if fault.KindOf(err) != fault.StoreAway {
		return "", errors.Newf("a change was answered with %v", err)
	}
	return "chat and top-up served; a change was refused as " + string(fault.KindOf(err)), nil
}

func (t *storyRunner) refusedRequest(ctx context.Context) (string, error) {
	before := 0
	for _, engine := range t.stack.Engines {
		before += len(engine.Runs())
	}
	got, err := t.client(0).do(ctx, http.MethodPost, "/v1/chat/completions", nil, `{"model":"no-such-model","messages":[{"role":"user","content":"hello"}]}`)
	if err != nil {
		return "", err
	}
	after := 0
	for _, engine := range t.stack.Engines {
		after += len(engine.Runs())
	}
	if got.status != http.StatusNotFound || got.runState != string(fault.NotRun) || before != after {
		return "", errors.Newf("status %d, %s %q, engines began %d runs", got.status, router.HeaderRunState, got.runState, after-before)
	}
	return fmt.Sprintf("status %d, %s, no engine began a run", got.status, got.runState), nil
}
