package config

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/capersaddle/capersaddle/internal/external"
	"github.com/capersaddle/capersaddle/internal/fault"
	"github.com/capersaddle/capersaddle/internal/wait"
)

// Command is an atomic change of the configuration.
type Command struct {
	// ID identifies the command: sending it again under the same ID is safe.
	ID       string `json:"id"`
	Operator string `json:"who,omitempty"`
	// IfRevision, if not zero, makes the command fail at any other revision.
	IfRevision uint64 `json:"if_revision,omitempty"`
	DryRun     bool   `json:"dry_run,omitempty"`
	// Force carries out a command even if that breaks a guarantee.
	Force   bool     `json:"force,omitempty"`
	Changes []Change `json:"changes"`
}

// names returns the names of the documents that the command changes.
func (c *Command) names() []string {
	names := make([]string, 0, len(c.Changes))
	for _, change := range c.Changes {
		names = append(names, change.Name)
	}
	return names
}

// Result is the result of an accepted command.
type Result struct {
	Revision uint64 `json:"revision"`
	// Repeat is set if the command had been accepted before.
	Repeat bool `json:"repeat,omitempty"`
	// DryRun is set if nothing was changed.
	DryRun bool `json:"dry_run,omitempty"`
}

// Editor executes commands against the store.
type Editor struct {
	repository repository
	state      *State
}

// NewEditor returns an editor for a process with the given state.
func NewEditor(store external.Store, state *State) *Editor {
	return &Editor{repository: repository{store: store}, state: state}
}

const (
	// maxTries limits the attempts of a command that loses races against others.
	maxTries = 8
	// retryInterval is the wait between attempts to settle a command.
	retryInterval = 200 * time.Millisecond
)

// errLostRace means that another command was accepted first.
var errLostRace = errors.New("another command was accepted first")

// Do executes a command. The command is either accepted (a nil error), refused with nothing
// changed, or, with fault.Unsettled, in an unknown state, which sending the same command again
// resolves.
func (e *Editor) Do(ctx context.Context, command Command) (Result, error) {
	if err := checkCommand(command); err != nil {
		return Result{}, err
	}
	for range maxTries {
		result, err := e.tryOnce(ctx, command)
		if !errors.Is(err, errLostRace) {
			return result, err
		}
	}
	return Result{}, fault.New(fault.Conflict, fault.NotRun, "lost the race against other commands %d times; send it again", maxTries)
}

func checkCommand(command Command) error {
	if command.ID == "" {
		return fault.New(fault.BadRequest, fault.NotRun, "the command has no id; an id is needed to settle a lost answer")
	}
	if len(command.Changes) == 0 {
		return fault.New(fault.BadRequest, fault.NotRun, "the command has no changes")
	}
	for _, change := range command.Changes {
		if len(change.Value) == 0 {
			continue
		}
		if err := CheckDocument(change.Name, change.Value); err != nil {
			return fault.New(fault.BadRequest, fault.NotRun, "%v", err)
		}
	}
	return nil
}

// tryOnce reads the manifest, checks the command and writes the result by compare-and-swap.
func (e *Editor) tryOnce(ctx context.Context, command Command) (Result, error) {
	manifest, err := e.repository.manifest(ctx)
	if err != nil {
		return Result{}, fault.New(fault.StoreAway, fault.NotRun, "the store does not answer; nothing was changed: %v", err).After(retryInterval)
	}
	if accepted, ok := manifest.find(command.ID); ok {
		if !slices.Equal(accepted.Names, command.names()) {
			return Result{}, fault.New(fault.Conflict, fault.NotRun, "id %s was used by another command, accepted at revision %d; use a new id", command.ID, accepted.Revision)
		}
		return Result{Revision: accepted.Revision, Repeat: true}, nil
	}
	if refusal := e.checkRevision(command, manifest); refusal != nil {
		return Result{}, refusal
	}
	changed, err := e.changeBuckets(ctx, command, &manifest, manifest.Revision+1)
	if err != nil {
		return Result{}, refusalOf(err)
	}
	if command.DryRun {
		return Result{Revision: manifest.Revision, DryRun: true}, nil
	}
	accepted := Accepted{ID: command.ID, Revision: manifest.Revision + 1, Operator: command.Operator, At: time.Now().UTC(), Names: command.names()}
	written, err := e.writeBuckets(ctx, command, changed)
	if err != nil {
		return Result{}, refusalOf(err)
	}
	next := manifest.next(accepted, written)
	result, err := e.swap(ctx, command, manifest, next)
	if err == nil {
		e.deleteReplaced(ctx, &manifest, written)
	}
	return result, err
}

// deleteReplaced deletes the bucket values that the new manifest no longer refers to. A reader of
// the old manifest that misses one reads the manifest again. A value that is left behind is never
// read.
func (e *Editor) deleteReplaced(ctx context.Context, previous *Manifest, written []int) {
	for _, bucket := range written {
		if command, ok := previous.Buckets[bucket]; ok {
			_ = e.repository.store.Delete(ctx, bucketKey(bucket, command))
		}
	}
}

// checkRevision refuses commands against a store that is behind the fleet or at another revision
// than the expected one.
func (e *Editor) checkRevision(command Command, manifest Manifest) *fault.Error {
	inForce := e.state.Revision()
	if manifest.Revision < inForce {
		return fault.New(fault.StoreBehind, fault.NotRun, "the store is at revision %d, the fleet at %d: the store was restored to an older state; run 'capersaddle config republish'", manifest.Revision, inForce)
	}
	if command.IfRevision != 0 && command.IfRevision != manifest.Revision {
		return fault.New(fault.Conflict, fault.NotRun, "the configuration is at revision %d, not %d", manifest.Revision, command.IfRevision)
	}
	return nil
}

// refusalOf returns a refusal as it is. Any other error before the manifest is written means that
// the store is unavailable and nothing was changed.
func refusalOf(err error) *fault.Error {
	var refusal *fault.Error
	if errors.As(err, &refusal) {
		return refusal
	}
	return fault.New(fault.StoreAway, fault.NotRun, "the store does not answer; nothing was changed: %v", err).After(retryInterval)
}

// changeBuckets returns the new documents of all buckets that the command changes. It refuses the
// command if a precondition fails.
func (e *Editor) changeBuckets(ctx context.Context, command Command, manifest *Manifest, revision uint64) (map[int][]Document, error) {
	byBucket := make(map[int][]Change)
	for _, change := range command.Changes {
		bucket := bucketOf(change.Name)
		byBucket[bucket] = append(byBucket[bucket], change)
	}
	changed := make(map[int][]Document, len(byBucket))
	for bucket, changes := range byBucket {
		documents, err := e.repository.bucket(ctx, manifest, bucket)
		if err != nil {
			return nil, err
		}
		changed[bucket], err = applyChanges(documents, changes, revision)
		if err != nil {
			return nil, err
		}
	}
	return changed, nil
}

// writeBuckets writes the new values. They take effect only once the manifest refers to them.
func (e *Editor) writeBuckets(ctx context.Context, command Command, changed map[int][]Document) ([]int, error) {
	written := slices.Sorted(maps.Keys(changed))
	for _, bucket := range written {
		if err := e.putBucket(ctx, bucket, command.ID, changed[bucket]); err != nil {
			return nil, err
		}
	}
	return written, nil
}

// maxBucketTries limits the attempts to write a bucket. The value is the same each time, so
// writing it again after a lost answer is harmless.
const maxBucketTries = 3

func (e *Editor) putBucket(ctx context.Context, bucket int, id string, documents []Document) error {
	var err error
	for range maxBucketTries {
		if err = e.repository.putBucket(ctx, bucket, id, documents); err == nil || !wait.For(ctx, retryInterval) {
			return err
		}
	}
	return err
}

// swap writes the manifest. After a lost answer it finds out by reading whether the write took
// effect.
func (e *Editor) swap(ctx context.Context, command Command, previous, next Manifest) (Result, error) {
	data, err := json.Marshal(next)
	if err != nil {
		return Result{}, errors.Wrap(err, "write manifest")
	}
	for {
		_, err := e.repository.store.Put(ctx, ManifestKey, data, previous.version)
		if err == nil {
			return Result{Revision: next.Revision}, nil
		}
		if errors.Is(err, external.ErrVersion) {
			return e.resolveVersionConflict(ctx, command)
		}
		if ctx.Err() != nil || !wait.For(ctx, retryInterval) {
			return Result{}, unsettled(command, err)
		}
	}
}

// resolveVersionConflict tells whether another command was accepted first, or this command's own
// write took effect and only its answer was lost.
func (e *Editor) resolveVersionConflict(ctx context.Context, command Command) (Result, error) {
	for {
		manifest, err := e.repository.manifest(ctx)
		if err != nil {
			if !wait.For(ctx, retryInterval) {
				return Result{}, unsettled(command, err)
			}
			continue
		}
		if accepted, ok := manifest.find(command.ID); ok {
			return Result{Revision: accepted.Revision}, nil
		}
		return Result{}, errLostRace
	}
}

func unsettled(command Command, err error) *fault.Error {
	return fault.New(fault.Unsettled, fault.Unknown, "the store's answer was lost (%v); send the command again with id %s: it takes effect at most once", err, command.ID).After(time.Second)
}

// Republish writes the fleet's configuration to a store that was restored to an older state, as a
// revision above both.
func (e *Editor) Republish(ctx context.Context, id, operator string) (Result, error) {
	manifest, err := e.repository.manifest(ctx)
	if err != nil {
		return Result{}, fault.New(fault.StoreAway, fault.NotRun, "the store does not answer; nothing was changed: %v", err)
	}
	if accepted, ok := manifest.find(id); ok {
		return Result{Revision: accepted.Revision, Repeat: true}, nil
	}
	inForce := e.state.Revision()
	if manifest.Revision >= inForce {
		return Result{}, fault.New(fault.Conflict, fault.NotRun, "the store is at revision %d, the fleet at %d: nothing to republish", manifest.Revision, inForce)
	}
	byBucket := make(map[int][]Document)
	for _, document := range e.state.Documents() {
		bucket := bucketOf(document.Name)
		byBucket[bucket] = append(byBucket[bucket], document)
	}
	base := Manifest{version: manifest.version}
	var written []int
	for bucket, documents := range byBucket {
		if err := e.putBucket(ctx, bucket, id, documents); err != nil {
			return Result{}, fault.New(fault.StoreAway, fault.NotRun, "%v", err)
		}
		written = append(written, bucket)
	}
	accepted := Accepted{ID: id, Revision: inForce + 1, Operator: operator, At: time.Now().UTC(), Names: []string{"*"}}
	result, err := e.swap(ctx, Command{ID: id}, manifest, base.next(accepted, written))
	if errors.Is(err, errLostRace) {
		return Result{}, fault.New(fault.Conflict, fault.NotRun, "another command was accepted first; check the configuration and try again")
	}
	return result, err
}

// History returns the last accepted commands, newest first.
func (e *Editor) History(ctx context.Context) ([]Accepted, error) {
	manifest, err := e.repository.manifest(ctx)
	if err != nil {
		return nil, fault.New(fault.StoreAway, fault.NotRun, "%v", err)
	}
	slices.Reverse(manifest.Commands)
	return manifest.Commands, nil
}
