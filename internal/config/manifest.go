package config

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/capersaddle/capersaddle/internal/external"
	"github.com/capersaddle/capersaddle/internal/wire"
)

const (
	// ManifestKey is the manifest's key in the store.
	ManifestKey = "config/manifest"
	// bucketCount is the number of values that the documents are spread over. With 5,000
	// workspaces a bucket stays far below a megabyte.
	bucketCount = 64
	// maxCommands is the number of commands that the manifest records, so that the result of a
	// command whose answer was lost can be found out.
	maxCommands = 256
)

// Manifest is the value whose compare-and-swap accepts a command.
type Manifest struct {
	Revision uint64 `json:"revision"`
	// Buckets holds, for each bucket, the ID of the command that wrote its current value.
	Buckets map[int]string `json:"buckets"`
	// Commands are the last accepted commands, oldest first.
	Commands []Accepted `json:"commands"`
	// version is the store's version of the manifest.
	version uint64
}

// Accepted is the record of an accepted command.
type Accepted struct {
	ID       string    `json:"id"`
	Revision uint64    `json:"revision"`
	Operator string    `json:"who"`
	At       time.Time `json:"at"`
	// Names are the documents that the command changed.
	Names []string `json:"names"`
}

// bucketValue is the stored value of one bucket.
type bucketValue struct {
	Documents []Document `json:"documents"`
}

func bucketOf(name string) int {
	return int(xxhash.Sum64String(name) % bucketCount)
}

func bucketKey(bucket int, command string) string {
	return fmt.Sprintf("config/bucket/%d/%s", bucket, command)
}

// find returns the accepted command with an ID.
func (m *Manifest) find(id string) (Accepted, bool) {
	for _, accepted := range m.Commands {
		if accepted.ID == id {
			return accepted, true
		}
	}
	return Accepted{}, false
}

// recordsSince reports whether the manifest records all commands since a revision.
func (m *Manifest) recordsSince(revision uint64) bool {
	return m.Revision <= revision || len(m.Commands) > 0 && m.Commands[0].Revision <= revision+1
}

// changedSince returns the names of the documents that the recorded commands since a revision changed.
func (m *Manifest) changedSince(revision uint64) []string {
	var names []string
	for _, accepted := range m.Commands {
		if accepted.Revision > revision {
			names = append(names, accepted.Names...)
		}
	}
	return names
}

// next returns the manifest after one more command.
func (m *Manifest) next(accepted Accepted, written []int) Manifest {
	next := Manifest{Revision: accepted.Revision, Buckets: make(map[int]string), version: m.version}
	for bucket, command := range m.Buckets {
		next.Buckets[bucket] = command
	}
	for _, bucket := range written {
		next.Buckets[bucket] = accepted.ID
	}
	next.Commands = append(slices.Clone(m.Commands), accepted)
	if excess := len(next.Commands) - maxCommands; excess > 0 {
		next.Commands = next.Commands[excess:]
	}
	return next
}

// repository reads and writes the configuration in the store.
type repository struct {
	store external.Store
}

// manifest reads the manifest; a missing one is returned as empty.
func (r *repository) manifest(ctx context.Context) (Manifest, error) {
	value, err := r.store.Get(ctx, ManifestKey)
	if errors.Is(err, external.ErrNotFound) {
		return Manifest{}, nil
	}
	if err != nil {
		return Manifest{}, errors.Wrap(err, "read manifest")
	}
	return parseManifest(value)
}

func parseManifest(value external.Value) (Manifest, error) {
	var manifest Manifest
	if len(value.Data) > 0 {
		if err := json.Unmarshal(value.Data, &manifest); err != nil {
			return Manifest{}, errors.Wrap(err, "decode manifest")
		}
	}
	manifest.version = value.Version
	return manifest, nil
}

// bucket reads the documents of a bucket that a manifest refers to.
func (r *repository) bucket(ctx context.Context, manifest *Manifest, bucket int) ([]Document, error) {
	command, ok := manifest.Buckets[bucket]
	if !ok {
		return nil, nil
	}
	value, err := r.store.Get(ctx, bucketKey(bucket, command))
	if err != nil {
		return nil, errors.Wrapf(err, "read bucket %d", bucket)
	}
	var decoded bucketValue
	if err := json.Unmarshal(value.Data, &decoded); err != nil {
		return nil, errors.Wrapf(err, "decode bucket %d", bucket)
	}
	return decoded.Documents, nil
}

// putBucket writes one bucket's documents under a command's ID. The key is used for this value
// only, so that a retry finds the same value there.
func (r *repository) putBucket(ctx context.Context, bucket int, command string, documents []Document) error {
	data, err := json.Marshal(bucketValue{Documents: documents})
	if err != nil {
		return errors.Wrap(err, "write bucket")
	}
	key := bucketKey(bucket, command)
	_, err = r.store.Put(ctx, key, data, 0)
	if !errors.Is(err, external.ErrVersion) {
		return errors.Wrapf(err, "write bucket %d", bucket)
	}
	existing, err := r.store.Get(ctx, key)
	if err != nil {
		return errors.Wrapf(err, "read bucket %d", bucket)
	}
	_, err = r.store.Put(ctx, key, data, existing.Version)
	return errors.Wrapf(err, "write bucket %d", bucket)
}

// load reads the documents of the buckets that differ from those of known, and returns the delta
// to the manifest's revision. The delta includes the removals of documents that the state never held,
// since peers may hold them; if the manifest doesn't record all of these, it is whole.
func (r *repository) load(ctx context.Context, manifest *Manifest, state *State, known *Manifest) (*wire.Delta, error) {
	revision := state.Revision()
	delta := &wire.Delta{From: revision, To: manifest.Revision, Whole: !manifest.recordsSince(revision)}
	if delta.GetWhole() {
		known = nil
	}
	names := manifest.changedSince(revision)
	for _, document := range state.Documents() {
		names = append(names, document.Name)
	}
	missing := make(map[int]map[string]bool)
	for _, name := range names {
		bucket := bucketOf(name)
		if missing[bucket] == nil {
			missing[bucket] = make(map[string]bool)
		}
		missing[bucket][name] = true
	}
	for bucket := range bucketCount {
		if known != nil && known.Buckets[bucket] == manifest.Buckets[bucket] {
			continue
		}
		documents, err := r.bucket(ctx, manifest, bucket)
		if err != nil {
			return nil, err
		}
		for _, document := range documents {
			delete(missing[bucket], document.Name)
			delta.Documents = append(delta.Documents, &wire.Document{Name: document.Name, Value: document.Value, Revision: document.Revision})
		}
		for name := range missing[bucket] {
			delta.Documents = append(delta.Documents, &wire.Document{Name: name, Revision: manifest.Revision})
		}
	}
	return delta, nil
}
