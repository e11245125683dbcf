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

// Command is one change of the configuration, whole or not at all.
type Command struct {
	// ID names the command: sending it again under the same ID is safe.
	ID       string `json:"id"`
	Operator string `json:"who,omitempty"`
	// IfRevision, when not zero, refuses the command at another revision.
	IfRevision uint64 `json:"if_revision,omitempty"`
	DryRun     bool   `json:"dry_run,omitempty"`
	// Force carries out what would break a promise.
	Force   bool     `json:"force,omitempty"`
	Changes []Change `json:"changes"`
}

// names lists the documents that the command changes.
func (c *Command) names() []string {
	names := make([]string, 0, len(c.Changes))
	for _, change := range c.Changes {
		names = append(names, change.Name)
	}
	return names
}

// Result is a command's acceptance.
type Result struct {
	Revision uint64 `json:"revision"`
	// Repeat says that the command had been accepted before.
	Repeat bool `json:"repeat,omitempty"`
	// DryRun says that nothing was changed.
	DryRun bool `json:"dry_run,omitempty"`
}

// Editor carries out commands against the store.
type Editor struct {
	repository repository
	state      *State
}

// NewEditor returns an editor for a process that has state in force.
func NewEditor(store external.Store, state *State) *Editor {
	return &Editor{repository: repository{store: store}, state: state}
}

const (
	// mostTries bounds how often a command meets other commands first.
	mostTries = 8
	// settleEvery is the wait between looks at an unsettled command.
	settleEvery = 200 * time.Millisecond
)

// errTryAgain says that another command came first.
var errTryAgain = errors.New("another command came first")

// Do carries out a command. It ends accepted (a nil error), plainly refused
// (nothing was changed) or, with fault.Unsettled, unknown: the same command
// sent again settles it.
func (e *Editor) Do(ctx context.Context, command Command) (Result, error) {
	if err := checkCommand(command); err != nil {
		return Result{}, err
	}
	for range mostTries {
		result, err := e.try(ctx, command)
		if !errors.Is(err, errTryAgain) {
			return result, err
		}
	}
	return Result{}, fault.New(fault.Conflict, fault.NotRun, "other commands came first %d times; send it again", mostTries)
}

func checkCommand(command Command) error {
	if command.ID == "" {
		return fault.New(fault.BadRequest, fault.NotRun, "the command has no id; give one, so that it can be settled")
	}
	if len(command.Changes) == 0 {
		return fault.New(fault.BadRequest, fault.NotRun, "the command changes nothing")
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

// try goes once through read, check and compare-and-swap.
func (e *Editor) try(ctx context.Context, command Command) (Result, error) {
	manifest, err := e.repository.manifest(ctx)
	if err != nil {
		return Result{}, fault.New(fault.StoreAway, fault.NotRun, "the store does not answer, nothing was changed: %v", err).After(settleEvery)
	}
	if accepted, ok := manifest.find(command.ID); ok {
		if !slices.Equal(accepted.Names, command.names()) {
			return Result{}, fault.New(fault.Conflict, fault.NotRun, "the id %s belongs to another command, accepted at revision %d; give this one its own", command.ID, accepted.Revision)
		}
		return Result{Revision: accepted.Revision, Repeat: true}, nil
	}
	if refusal := e.check(command, manifest); refusal != nil {
		return Result{}, refusal
	}
	changed, err := e.changeBuckets(ctx, command, &manifest, manifest.Revision+1)
	if err != nil {
		return Result{}, refusedOrAway(err)
	}
	if command.DryRun {
		return Result{Revision: manifest.Revision, DryRun: true}, nil
	}
	accepted := Accepted{ID: command.ID, Revision: manifest.Revision + 1, Operator: command.Operator, At: time.Now().UTC(), Names: command.names()}
	written, err := e.writeBuckets(ctx, command, changed)
	if err != nil {
		return Result{}, refusedOrAway(err)
	}
	next := manifest.next(accepted, written)
	result, err := e.swap(ctx, command, manifest, next)
	if err == nil {
		e.clean(ctx, &manifest, written)
	}
	return result, err
}

// clean removes the bucket values that the new manifest no longer names. A
// reader of the old manifest that meets this looks at the manifest again; a
// value that stays behind is never read.
func (e *Editor) clean(ctx context.Context, before *Manifest, written []int) {
	for _, bucket := range written {
		if command, ok := before.Buckets[bucket]; ok {
			_ = e.repository.store.Delete(ctx, bucketKey(bucket, command))
		}
	}
}

// check refuses what would revert or race.
func (e *Editor) check(command Command, manifest Manifest) *fault.Error {
	held := e.state.Revision()
	if manifest.Revision < held {
		return fault.New(fault.StoreBehind, fault.NotRun, "the store is at revision %d, the fleet at %d: the store was put back; run 'capersaddle config republish'", manifest.Revision, held)
	}
	if command.IfRevision != 0 && command.IfRevision != manifest.Revision {
		return fault.New(fault.Conflict, fault.NotRun, "the configuration is at revision %d, not %d", manifest.Revision, command.IfRevision)
	}
	return nil
}

// refusedOrAway passes a refusal on; any other error before the manifest's
// write means that the store is away and nothing was changed.
func refusedOrAway(err error) *fault.Error {
	var refusal *fault.Error
	if errors.As(err, &refusal) {
		return refusal
	}
	return fault.New(fault.StoreAway, fault.NotRun, "the store does not answer, nothing was changed: %v", err).After(settleEvery)
}

// changeBuckets works out the new documents of all buckets that the command
// touches, and refuses what does not meet its needs.
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
		changed[bucket], err = change(documents, changes, revision)
		if err != nil {
			return nil, err
		}
	}
	return changed, nil
}

// writeBuckets writes the new values. They mean nothing until the manifest
// names them.
func (e *Editor) writeBuckets(ctx context.Context, command Command, changed map[int][]Document) ([]int, error) {
	written := slices.Sorted(maps.Keys(changed))
	for _, bucket := range written {
		if err := e.putBucket(ctx, bucket, command.ID, changed[bucket]); err != nil {
			return nil, err
		}
	}
	return written, nil
}

// bucketTries is how often a bucket's write is tried: the value is the same
// each time, so a lost answer does no harm.
const bucketTries = 3

func (e *Editor) putBucket(ctx context.Context, bucket int, id string, documents []Document) error {
	var err error
	for range bucketTries {
		if err = e.repository.putBucket(ctx, bucket, id, documents); err == nil || !wait.For(ctx, settleEvery) {
			return err
		}
	}
	return err
}

// swap writes the manifest; a lost answer is settled by reading.
func (e *Editor) swap(ctx context.Context, command Command, before, next Manifest) (Result, error) {
	data, err := json.Marshal(next)
	if err != nil {
		return Result{}, errors.Wrap(err, "write manifest")
	}
	for {
		_, err := e.repository.store.Put(ctx, ManifestKey, data, before.version)
		if err == nil {
			return Result{Revision: next.Revision}, nil
		}
		if errors.Is(err, external.ErrVersion) {
			return e.afterVersion(ctx, command)
		}
		if ctx.Err() != nil || !wait.For(ctx, settleEvery) {
			return Result{}, unsettled(command, err)
		}
	}
}

// afterVersion tells another command that came first from this command's own
// write whose answer was lost.
func (e *Editor) afterVersion(ctx context.Context, command Command) (Result, error) {
	for {
		manifest, err := e.repository.manifest(ctx)
		if err != nil {
			if !wait.For(ctx, settleEvery) {
				return Result{}, unsettled(command, err)
			}
			continue
		}
		if accepted, ok := manifest.find(command.ID); ok {
			return Result{Revision: accepted.Revision}, nil
		}
		return Result{}, errTryAgain
	}
}

func unsettled(command Command, err error) *fault.Error {
	return fault.New(fault.Unsettled, fault.Unknown, "the store's answer is lost (%v); send the command again under id %s: it takes effect at most once", err, command.ID).After(time.Second)
}

// Republish writes the configuration in force to a store that was put back to
// an older state, as a revision above both.
func (e *Editor) Republish(ctx context.Context, id, who string) (Result, error) {
	manifest, err := e.repository.manifest(ctx)
	if err != nil {
		return Result{}, fault.New(fault.StoreAway, fault.NotRun, "the store does not answer, nothing was changed: %v", err)
	}
	if accepted, ok := manifest.find(id); ok {
		return Result{Revision: accepted.Revision, Repeat: true}, nil
	}
	held := e.state.Revision()
	if manifest.Revision >= held {
		return Result{}, fault.New(fault.Conflict, fault.NotRun, "the store is at revision %d, the fleet at %d: nothing to republish", manifest.Revision, held)
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
	accepted := Accepted{ID: id, Revision: held + 1, Operator: who, At: time.Now().UTC(), Names: []string{"*"}}
	result, err := e.swap(ctx, Command{ID: id}, manifest, base.next(accepted, written))
	if errors.Is(err, errTryAgain) {
		return Result{}, fault.New(fault.Conflict, fault.NotRun, "another command came first; look and try again")
	}
	return result, err
}

// History lists the last accepted commands, newest first.
func (e *Editor) History(ctx context.Context) ([]Accepted, error) {
	manifest, err := e.repository.manifest(ctx)
	if err != nil {
		return nil, fault.New(fault.StoreAway, fault.NotRun, "%v", err)
	}
	slices.Reverse(manifest.Commands)
	return manifest.Commands, nil
}
