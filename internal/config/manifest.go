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
	// ManifestKey is where the manifest is in the store.
	ManifestKey = "config/manifest"
	// buckets is how many values the documents are spread over: at 5,000
	// workspaces a bucket stays far below a megabyte.
	buckets = 64
	// keptCommands is how many commands the manifest remembers, so that a
	// lost answer can be settled.
	keptCommands = 256
)

// Manifest is the one value whose compare-and-swap accepts a command.
type Manifest struct {
	Revision uint64 `json:"revision"`
	// Buckets name the value of each bucket by the command that wrote it.
	Buckets map[int]string `json:"buckets"`
	// Commands are the last accepted ones, oldest first.
	Commands []Accepted `json:"commands"`
	// version is the manifest's version in the store.
	version uint64
}

// Accepted is what is kept of an accepted command.
type Accepted struct {
	ID       string    `json:"id"`
	Revision uint64    `json:"revision"`
	Operator string    `json:"who"`
	At       time.Time `json:"at"`
	// Names are the documents that it changed.
	Names []string `json:"names"`
}

// bucketValue is the value of one bucket.
type bucketValue struct {
	Documents []Document `json:"documents"`
}

func bucketOf(name string) int {
	return int(xxhash.Sum64String(name) % buckets)
}

func bucketKey(bucket int, command string) string {
	return fmt.Sprintf("config/bucket/%d/%s", bucket, command)
}

// find gives the accepted command of an id.
func (m *Manifest) find(id string) (Accepted, bool) {
	for _, accepted := range m.Commands {
		if accepted.ID == id {
			return accepted, true
		}
	}
	return Accepted{}, false
}

// next is the manifest after one more command.
func (m *Manifest) next(accepted Accepted, written []int) Manifest {
	next := Manifest{Revision: accepted.Revision, Buckets: make(map[int]string), version: m.version}
	for bucket, command := range m.Buckets {
		next.Buckets[bucket] = command
	}
	for _, bucket := range written {
		next.Buckets[bucket] = accepted.ID
	}
	next.Commands = append(slices.Clone(m.Commands), accepted)
	if over := len(next.Commands) - keptCommands; over > 0 {
		next.Commands = next.Commands[over:]
	}
	return next
}

// repository reads and writes the configuration in the store.
type repository struct {
	store external.Store
}

// manifest reads the manifest; an absent one is empty.
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
			return Manifest{}, errors.Wrap(err, "manifest is not readable")
		}
	}
	manifest.version = value.Version
	return manifest, nil
}

// bucket reads the documents of one bucket as a manifest names it.
func (r *repository) bucket(ctx context.Context, manifest *Manifest, bucket int) ([]Document, error) {
	command, ok := manifest.Buckets[bucket]
	if !ok {
		return nil, nil
	}
	value, err := r.store.Get(ctx, bucketKey(bucket, command))
	if err != nil {
		return nil, errors.Wrapf(err, "read bucket %d", bucket)
	}
	var read bucketValue
	if err := json.Unmarshal(value.Data, &read); err != nil {
		return nil, errors.Wrapf(err, "bucket %d is not readable", bucket)
	}
	return read.Documents, nil
}

// putBucket writes one bucket's documents under a command's name. The key is
// used for this one value only, so that a repeat finds the same value there.
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
	held, err := r.store.Get(ctx, key)
	if err != nil {
		return errors.Wrapf(err, "read bucket %d", bucket)
	}
	_, err = r.store.Put(ctx, key, data, held.Version)
	return errors.Wrapf(err, "write bucket %d", bucket)
}

// load reads the documents of the buckets that differ from those of known and
// makes the delta to the manifest's revision.
func (r *repository) load(ctx context.Context, manifest *Manifest, state *State, known *Manifest) (*wire.Delta, error) {
	delta := &wire.Delta{From: state.Revision(), To: manifest.Revision}
	held := make(map[int]map[string]bool)
	for _, document := range state.Documents() {
		bucket := bucketOf(document.Name)
		if held[bucket] == nil {
			held[bucket] = make(map[string]bool)
		}
		held[bucket][document.Name] = true
	}
	for bucket := range buckets {
		if known != nil && known.Buckets[bucket] == manifest.Buckets[bucket] {
			continue
		}
		documents, err := r.bucket(ctx, manifest, bucket)
		if err != nil {
			return nil, err
		}
		for _, document := range documents {
			delete(held[bucket], document.Name)
			delta.Documents = append(delta.Documents, &wire.Document{Name: document.Name, Value: document.Value, Revision: document.Revision})
		}
		for name := range held[bucket] {
			delta.Documents = append(delta.Documents, &wire.Document{Name: name, Revision: manifest.Revision})
		}
	}
	return delta, nil
}
