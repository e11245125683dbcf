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

// Script is the body of a call to exec.
type Script struct {
	Text   string `json:"text"`
	ID     string `json:"id"`
	Who    string `json:"who,omitempty"`
	DryRun bool   `json:"dry_run,omitempty"`
	Force  bool   `json:"force,omitempty"`
	// WaitMS limits the wait, in milliseconds, until all live routers have the change; zero does
	// not wait.
	WaitMS int64 `json:"wait_ms,omitempty"`
}

// ExecResult is the result of an accepted script.
type ExecResult struct {
	config.Result
	// InForce counts the routers that have the change, out of Routers live ones. Both are set
	// only when the call waited.
	InForce int `json:"in_force,omitempty"`
	Routers int `json:"routers,omitempty"`
	// Missing lists the live routers that did not confirm the change in time.
	Missing []string `json:"missing,omitempty"`
}

func (o *operators) serveExec(w http.ResponseWriter, r *http.Request) {
	var script Script
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxCommandBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&script); err != nil {
		writeFault(w, fault.New(fault.BadRequest, fault.NotRun, "cannot read the command: %v", err))
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
	command.ID, command.Operator, command.DryRun, command.Force = script.ID, script.Who, script.DryRun, script.Force
	result, err := o.execute(r, command)
	if err != nil {
		return ExecResult{}, err
	}
	executed := ExecResult{Result: result}
	if script.WaitMS > 0 && !result.DryRun {
		o.awaitRevision(r.Context(), &executed, time.Duration(script.WaitMS)*time.Millisecond)
	}
	return executed, nil
}

// execute runs a command. Unless forced, it first refuses marks that checkMarks rejects.
func (o *operators) execute(r *http.Request, command config.Command) (config.Result, error) {
	if !command.Force {
		if refusal := o.checkMarks(command); refusal != nil {
			return config.Result{}, refusal
		}
	}
	result, err := o.editor.Do(r.Context(), command)
	if err == nil && !result.DryRun {
		o.fetchConfig(r)
	}
	return result, err
}

// checkMarks refuses to mark targets that no agent has, or the last target in a pool that accepts
// work.
func (o *operators) checkMarks(command config.Command) *fault.Error {
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
	remaining := make(map[string]int)
	o.node.Members.Visit(func(view member.View) {
		for _, target := range view.Member.GetTargets() {
			pools[target.GetId()] = target.GetPool()
			if view.Alive() && !target.GetLeaving() && !slices.Contains(marked, target.GetId()) {
				remaining[target.GetPool()]++
			}
		}
	})
	for _, name := range marked {
		pool, known := pools[name]
		if !known {
			return fault.New(fault.Conflict, fault.NotRun, "no agent has target %q; use force if it will be added later", name)
		}
		if remaining[pool] == 0 {
			return fault.New(fault.Conflict, fault.NotRun, "%q is the last target in pool %q that accepts work; use force to stop it anyway", name, pool)
		}
	}
	return nil
}

// revisionPollInterval is the wait between two polls of the routers' revisions.
const revisionPollInterval = 100 * time.Millisecond

// awaitRevision polls all live routers until each has the revision or the time limit is reached.
func (o *operators) awaitRevision(ctx context.Context, executed *ExecResult, limit time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for {
		executed.Missing = o.laggingRouters(ctx, executed)
		if len(executed.Missing) == 0 || ctx.Err() != nil {
			return
		}
		timer := time.NewTimer(revisionPollInterval)
		select {
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
	}
}

// laggingRouters asks each live router for its revision and returns the IDs of those that lack
// the change or do not answer.
func (o *operators) laggingRouters(ctx context.Context, executed *ExecResult) []string {
	var mu sync.Mutex
	var missing []string
	var requests sync.WaitGroup
	executed.Routers = 0
	for _, peer := range o.node.Members.Peers() {
		if peer.Role != member.RoleRouter || !peer.Alive() {
			continue
		}
		executed.Routers++
		if peer.ID == o.settings.ID {
			continue
		}
		requests.Go(func() {
			delta, err := o.node.Pull(ctx, peer.LinkAddress, executed.Revision)
			if err == nil && delta.GetTo() >= executed.Revision {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			missing = append(missing, peer.ID)
		})
	}
	requests.Wait()
	slices.SortFunc(missing, strings.Compare)
	executed.InForce = executed.Routers - len(missing)
	return missing
}
