package process

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/capersaddle/capersaddle/internal/config"
	"github.com/capersaddle/capersaddle/internal/fault"
	"github.com/capersaddle/capersaddle/internal/member"
	"github.com/capersaddle/capersaddle/internal/oplang"
)

// Script is the body of an exec call.
type Script struct {
	Text   string `json:"text"`
	ID     string `json:"id"`
	Who    string `json:"who,omitempty"`
	DryRun bool   `json:"dry_run,omitempty"`
	Force  bool   `json:"force,omitempty"`
	// WaitMS is how long to wait until the change is in force everywhere.
	WaitMS int64 `json:"wait_ms,omitempty"`
}

// ExecResult is the result of an accepted script.
type ExecResult struct {
	config.Result
	// InForce and Routers are set when the call waited.
	InForce int `json:"in_force,omitempty"`
	Routers int `json:"routers,omitempty"`
	// Missing names the routers that were not seen to have the change.
	Missing []string `json:"missing,omitempty"`
}

func (o *operators) serveExec(w http.ResponseWriter, r *http.Request) {
	var script Script
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, mostCommand))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&script); err != nil {
		writeFault(w, fault.New(fault.BadRequest, fault.NotRun, "the command is not readable: %v", err))
		return
	}
	executed, err := o.exec(r, script)
	o.log.Info("exec", "id", script.ID, "who", script.Who, "text", script.Text, "revision", executed.Revision, "error", err)
	if err != nil {
		writeFault(w, err)
		return
	}
	writeJSON(w, executed)
}

func (o *operators) exec(r *http.Request, script Script) (ExecResult, error) {
	parsed, err := oplang.ParseScript(script.Text)
	if err != nil {
		return ExecResult{}, err
	}
	command, err := parsed.Command()
	if err != nil {
		return ExecResult{}, fault.New(fault.BadRequest, fault.NotRun, "%v", err)
	}
	command.ID, command.Who, command.DryRun, command.Force = script.ID, script.Who, script.DryRun, script.Force
	result, err := o.do(r, command)
	if err != nil {
		return ExecResult{}, err
	}
	executed := ExecResult{Result: result}
	if script.WaitMS > 0 && !result.DryRun {
		o.await(r.Context(), &executed, time.Duration(script.WaitMS)*time.Millisecond)
	}
	return executed, nil
}

// do carries out a command after checking that it breaks no promise.
func (o *operators) do(r *http.Request, command config.Command) (config.Result, error) {
	if !command.Force {
		if refusal := o.breaks(command); refusal != nil {
			return config.Result{}, refusal
		}
	}
	result, err := o.editor.Do(r.Context(), command)
	if err == nil && !result.DryRun {
		o.takeEffect(r)
	}
	return result, err
}

// breaks refuses a mark that would leave a pool without a target, and one of a
// target that nobody knows.
func (o *operators) breaks(command config.Command) *fault.Error {
	var marked []string
	for _, change := range command.Changes {
		kind, name, err := config.SplitName(change.Name)
		if err == nil && kind == config.KindMark && len(change.Value) > 0 {
			marked = append(marked, name)
		}
	}
	if len(marked) == 0 {
		return nil
	}
	pools := make(map[string]string)
	left := make(map[string]int)
	o.node.Members.Visit(func(view member.View) {
		for _, target := range view.Member.GetTargets() {
			pools[target.GetId()] = target.GetPool()
			if view.Alive() && !target.GetLeaving() && !slices.Contains(marked, target.GetId()) {
				left[target.GetPool()]++
			}
		}
	})
	for _, name := range marked {
		pool, known := pools[name]
		if !known {
			return fault.New(fault.Conflict, fault.NotRun, "no agent has a target %q; use force if it is still to come", name)
		}
		if left[pool] == 0 {
			return fault.New(fault.Conflict, fault.NotRun, "%q is the last target of %q that takes work; use force to stop it all the same", name, pool)
		}
	}
	return nil
}

// awaitEvery is the wait between two rounds of asking.
const awaitEvery = 100 * time.Millisecond

// await asks all live routers whether they have the revision, until all do or
// the time is out.
func (o *operators) await(ctx context.Context, executed *ExecResult, limit time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for {
		executed.Missing = o.behind(ctx, executed)
		if len(executed.Missing) == 0 || ctx.Err() != nil {
			return
		}
		timer := time.NewTimer(awaitEvery)
		select {
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
	}
}

// behind asks each live router for its revision and names those that do not
// have the change or do not answer.
func (o *operators) behind(ctx context.Context, executed *ExecResult) []string {
	var mu sync.Mutex
	var missing []string
	var wait sync.WaitGroup
	executed.Routers = 0
	for _, peer := range o.node.Members.Peers() {
		if peer.Role != member.RoleRouter || !peer.Alive() {
			continue
		}
		executed.Routers++
		if peer.ID == o.settings.ID {
			continue
		}
		wait.Go(func() {
			delta, err := o.node.Pull(ctx, peer.LinkAddress, executed.Revision)
			if err == nil && delta.GetTo() >= executed.Revision {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			missing = append(missing, peer.ID)
		})
	}
	wait.Wait()
	slices.SortFunc(missing, strings.Compare)
	executed.InForce = executed.Routers - len(missing)
	return missing
}
