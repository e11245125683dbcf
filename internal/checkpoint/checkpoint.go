// Package checkpoint keeps in the store where parts of prompts are cached, so
// that gateways that all begin anew together still find them. The checkpoint
// is advice: a wrong or old one costs reads, never a promise, so it is written
// without a condition and the last writer wins.
package checkpoint

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/capersaddle/capersaddle/internal/balance"
	"github.com/capersaddle/capersaddle/internal/wait"
	"github.com/capersaddle/capersaddle/internal/wire"
)

const (
	// saveEvery is the time between two checkpoints, at least.
	saveEvery = 2500 * time.Millisecond
	// saveTimeout bounds one call to the store.
	saveTimeout = 800 * time.Millisecond
	// mostParts bounds the checkpoint: the parts used last.
	mostParts = 8192
)

// Store keeps the checkpoint.
type Store interface {
	// SaveCheckpoint replaces the checkpoint.
	SaveCheckpoint(ctx context.Context, data []byte) error
}

// Saver writes the checkpoint while this process is the one to do it.
type Saver struct {
	balancer *balance.Balancer
	store    Store
	// turn says whether this process is to write now.
	turn   func() bool
	called func(err error)
	last   []balance.Placement
	cancel context.CancelFunc
	wait   sync.WaitGroup
}

// NewSaver returns a saver that Start begins; called is told of each call.
func NewSaver(balancer *balance.Balancer, store Store, turn func() bool, called func(err error)) *Saver {
	return &Saver{balancer: balancer, store: store, turn: turn, called: called}
}

// Start begins to write checkpoints.
func (s *Saver) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	s.wait.Go(func() {
		for wait.For(ctx, saveEvery) {
			s.save(ctx)
		}
	})
	return nil
}

// Close ends the writing and waits.
func (s *Saver) Close() error {
	s.cancel()
	s.wait.Wait()
	return nil
}

// save writes a checkpoint if there is something new and it is this process's
// turn. A failed call is made up for by the next.
func (s *Saver) save(ctx context.Context) {
	if !s.turn() {
		return
	}
	placements := s.balancer.AllPlacements(mostParts)
	if len(placements) == 0 || slices.Equal(sorted(placements), s.last) {
		return
	}
	data, err := Encode(placements)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, saveTimeout)
	defer cancel()
	err = s.store.SaveCheckpoint(ctx, data)
	s.called(err)
	if err == nil {
		s.last = sorted(placements)
	}
}

// sorted are the placements in an order that does not hang on their use.
func sorted(placements []balance.Placement) []balance.Placement {
	ordered := slices.Clone(placements)
	slices.SortFunc(ordered, balance.ComparePlacements)
	return ordered
}

// Encode writes placements as bytes.
func Encode(placements []balance.Placement) ([]byte, error) {
	message := new(wire.PlacementCheckpoint)
	for _, placement := range placements {
		message.Parts = append(message.Parts, placement.Part)
		message.Holders = append(message.Holders, placement.Target)
	}
	data, err := proto.Marshal(message)
	return data, errors.Wrap(err, "encode checkpoint")
}

// Decode reads what Encode wrote.
func Decode(data []byte) ([]balance.Placement, error) {
	message := new(wire.PlacementCheckpoint)
	if err := proto.Unmarshal(data, message); err != nil {
		return nil, errors.Wrap(err, "decode checkpoint")
	}
	parts, targets := message.GetParts(), message.GetHolders()
	if len(parts) != len(targets) {
		return nil, errors.Newf("decode checkpoint: %d parts and %d targets", len(parts), len(targets))
	}
	placements := make([]balance.Placement, 0, len(parts))
	for i, part := range parts {
		placements = append(placements, balance.Placement{Part: part, Target: targets[i]})
	}
	return placements, nil
}
