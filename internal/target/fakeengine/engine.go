// Package fakeengine is a small fake of a model engine: continuous batching with a step time, a
// limited prefix cache, priorities, resumption at an offset, cancellation, KV export and
// import, orders with fencing tokens and faults injected by request. The same core serves
// in-process tests under virtual time and HTTP.
package fakeengine

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/capersaddle/capersaddle/internal/target"
)

// Options configures the size and speed of the engine.
type Options struct {
	Name string
	// Step is the duration of one batch step, in which each running answer gains a piece.
	Step time.Duration
	// Batch is the number of answers that run in one step.
	Batch int
	// PrefillPerStep is the number of uncached prompt tokens that one step processes.
	PrefillPerStep int
	// CacheBlocks limits the prefix cache, in blocks of blockTokens.
	CacheBlocks int
	// Lag is the delay of load reports and cache events.
	Lag time.Duration
	// Fetch, if set, fetches the weights of a model that is to be loaded.
	Fetch func(model string) error
	// ChecksFence enables the refusal of orders with a lower token than an earlier one.
	ChecksFence bool
	// Log, if set, is called with a line for each answer that starts or ends.
	Log func(line string)
}

// setDefaults sets the options that are zero.
func (o *Options) setDefaults() {
	if o.Step == 0 {
		o.Step = 5 * time.Millisecond
	}
	if o.Batch == 0 {
		o.Batch = 64
	}
	if o.PrefillPerStep == 0 {
		o.PrefillPerStep = 512
	}
	if o.CacheBlocks == 0 {
		o.CacheBlocks = 4096
	}
	if o.Log == nil {
		o.Log = func(string) {}
	}
}

// Engine is the fake engine.
type Engine struct {
	options Options
	cache   *prefixCache

	mu       sync.Mutex
	running  []*sequence
	stepping bool
	faults   []Fault
	fence    uint64
	models   map[string]bool
	// reports holds the newest report that is older than the lag, and later ones.
	reports []timedReport
	// loads counts the models loaded.
	loads int
	// runs lists the ids of the requests started, in order.
	runs   []string
	wait   sync.WaitGroup
	closed bool
}

// New returns an engine that has loaded the given models.
func New(options Options, models ...string) *Engine {
	options.setDefaults()
	loaded := make(map[string]bool)
	for _, model := range models {
		loaded[model] = true
	}
	return &Engine{options: options, cache: newPrefixCache(options.CacheBlocks), models: loaded}
}

// Generate starts an answer.
func (e *Engine) Generate(ctx context.Context, request target.GenerateRequest) (target.Generation, error) {
	chat, err := target.ParseChat(request.Body)
	if err != nil {
		return nil, errors.Wrapf(target.ErrRefused, "%v", err)
	}
	seq := newSequence(ctx, chat, request)
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.models[chat.Model] {
		return nil, errors.Wrapf(target.ErrRefused, "model %q is not loaded", chat.Model)
	}
	if e.closed {
		return nil, errors.Wrap(target.ErrRefused, "engine is closed")
	}
	seq.fault = e.nextFault()
	if seq.fault.Refuse {
		return nil, errors.Wrap(target.ErrRefused, "fault: refused")
	}
	cached := e.cache.match(seq.prompt)
	seq.cached = int64(cached)
	seq.prefill = len(seq.prompt) - cached
	e.runs = append(e.runs, request.RequestID)
	e.options.Log(e.options.Name + " begins " + request.RequestID)
	e.running = append(e.running, seq)
	e.ensureStepping()
	return seq, nil
}

// SetStep changes the duration of a step, from the next time that the engine is idle.
func (e *Engine) SetStep(step time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.options.Step = step
}

// ensureStepping starts the batch loop if it is idle; e.mu is held.
func (e *Engine) ensureStepping() {
	if e.stepping {
		return
	}
	e.stepping = true
	e.wait.Go(e.runBatches)
}

// runBatches runs batch steps until no answer is left.
func (e *Engine) runBatches() {
	e.mu.Lock()
	step := e.options.Step
	e.mu.Unlock()
	ticker := time.NewTicker(step)
	defer ticker.Stop()
	for range ticker.C {
		if !e.step() {
			return
		}
	}
}

// step generates one piece of each running answer, lowest priority number first.
func (e *Engine) step() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	budget := e.options.PrefillPerStep
	freeSlots := e.options.Batch
	kept := e.running[:0]
	for _, seq := range sortByPriority(e.running) {
		if seq.ctx.Err() != nil {
			seq.end(context.Cause(seq.ctx))
			e.options.Log(e.options.Name + " cancels " + seq.id)
			continue
		}
		if freeSlots == 0 || seq.fault.Hang {
			kept = append(kept, seq)
			continue
		}
		freeSlots--
		if e.advance(seq, &budget) {
			kept = append(kept, seq)
		}
	}
	e.running = kept
	if len(kept) == 0 {
		e.stepping = false
		return false
	}
	return true
}

// advance advances one answer by a step; it returns false once the answer has ended.
func (e *Engine) advance(seq *sequence, budget *int) bool {
	if seq.fault.LateSteps > 0 {
		seq.fault.LateSteps--
		return true
	}
	if seq.prefill > 0 {
		tokens := min(seq.prefill, *budget)
		seq.prefill -= tokens
		*budget -= tokens
		return true
	}
	if seq.fault.CutAfter > 0 && seq.generated >= seq.fault.CutAfter {
		seq.end(errors.Wrap(target.ErrCut, "fault: cut"))
		return false
	}
	if seq.next < seq.total {
		seq.emit(target.Piece{Index: seq.next, Text: seq.text(seq.next)})
		seq.next++
		seq.generated++
		return true
	}
	e.cache.insert(seq.id, append(seq.prompt, seq.answerTokens()...))
	seq.emit(target.Piece{Index: seq.total, Finish: seq.finishReason(), Usage: target.Usage{
		PromptTokens:     int64(len(seq.prompt)),
		CompletionTokens: seq.total,
		CachedTokens:     seq.cached,
	}})
	seq.end(io.EOF)
	e.options.Log(e.options.Name + " ends " + seq.id)
	return false
}

// Load reports the batch as it was before the engine's lag.
func (e *Engine) Load(context.Context) (target.LoadReport, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	running := min(len(e.running), e.options.Batch)
	now := time.Now()
	e.reports = append(e.reports, timedReport{at: now, report: target.LoadReport{Running: running, Waiting: len(e.running) - running}})
	for len(e.reports) > 1 && now.Sub(e.reports[1].at) >= e.options.Lag {
		e.reports = e.reports[1:]
	}
	return e.reports[0].report, nil
}

// timedReport is a load report with the time at which it was taken.
type timedReport struct {
	at     time.Time
	report target.LoadReport
}

// Order loads or unloads a model.
func (e *Engine) Order(_ context.Context, order target.Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.options.ChecksFence && order.Token < e.fence {
		return errors.Wrapf(target.ErrRefused, "order token %d is below %d", order.Token, e.fence)
	}
	e.fence = max(e.fence, order.Token)
	e.options.Log(fmt.Sprintf("%s is told to %s %s", e.options.Name, order.Action, order.Model))
	switch order.Action {
	case "load":
		if err := e.fetch(order.Model); err != nil {
			return errors.Wrapf(target.ErrRefused, "load %s: %v", order.Model, err)
		}
		e.models[order.Model] = true
		e.loads++
	case "unload":
		delete(e.models, order.Model)
	default:
		return errors.Wrapf(target.ErrRefused, "unknown action %q", order.Action)
	}
	return nil
}

func (e *Engine) fetch(model string) error {
	if e.options.Fetch == nil {
		return nil
	}
	return e.options.Fetch(model)
}

// ExportKV writes the cached prefixes of requests.
func (e *Engine) ExportKV(_ context.Context, requestIDs []string, into io.Writer) error {
	return e.cache.export(requestIDs, into)
}

// ImportKV reads prefixes that another engine has exported.
func (e *Engine) ImportKV(_ context.Context, from io.Reader) error {
	return e.cache.importBlocks(from)
}

// Loads returns the number of models loaded so far.
func (e *Engine) Loads() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.loads
}

// Runs returns the ids of the requests started so far, in order.
func (e *Engine) Runs() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]string(nil), e.runs...)
}

// Close ends all answers and waits for the batch loop.
func (e *Engine) Close() error {
	e.mu.Lock()
	e.closed = true
	for _, seq := range e.running {
		seq.cancel()
	}
	e.mu.Unlock()
	e.wait.Wait()
	return nil
}
