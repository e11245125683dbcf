// Package checkpoint keeps in the store what gateways that all begin anew
// together need: where parts of prompts are cached, and the targets, whose own
// entries may have lapsed while the store was away. The checkpoint is advice: a
// wrong or old one costs reads or an attempt that its target turns away, never
// a promise, so it is written without a condition and the last writer wins.
package checkpoint

import (
	"context"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/capersaddle/capersaddle/internal/balance"
	"github.com/capersaddle/capersaddle/internal/clock"
	"github.com/capersaddle/capersaddle/internal/quarantine"
	"github.com/capersaddle/capersaddle/internal/wait"
	"github.com/capersaddle/capersaddle/internal/wire"
)

const (
	// saveEvery is the time between two checkpoints, at least.
	saveEvery = 2500 * time.Millisecond
	// oldest is how old a checkpoint gets while little of it has changed: less
	// than littleChange of its placements, and none of its targets.
	oldest       = 10 * time.Second
	littleChange = 1.0 / 16
	// saveTimeout bounds one call to the store.
	saveTimeout = 800 * time.Millisecond
	// mostParts bounds the checkpoint: the parts used last.
	mostParts = 8192
	// mostHeldBack bounds it in requests that are held back, at 70 bytes each.
	mostHeldBack = 256
)

// Store keeps the checkpoint.
type Store interface {
	// SaveCheckpoint replaces the checkpoint, and the number of gateways beside it, which a
	// process can read without it.
	SaveCheckpoint(ctx context.Context, data []byte, gateways int) error
}

// Saver writes the checkpoint while this process is the one to do it.
type Saver struct {
	balancer *balance.Balancer
	store    Store
	// turn says whether this process is to write now.
	turn   func() bool
	called func(err error)
	// HeldBack are the requests that are held back; nil is none. It is set before Start.
	HeldBack func() []quarantine.Record

	last Content
	// savedAt is when last was written.
	savedAt time.Time
	cancel  context.CancelFunc
	wait    sync.WaitGroup
}

// Content is what a checkpoint holds.
type Content struct {
	Placements []balance.Placement
	// Targets took work when the checkpoint was written, in the order of their
	// ids.
	Targets []balance.Target
	// Gateways is how many gateways there were; zero if that is not known.
	Gateways int
	// HeldBack are the requests that are held back since targets ended under them, at most
	// mostHeldBack, those with the most ends first.
	HeldBack []quarantine.Record
}

func (c Content) equal(other Content) bool {
	return slices.Equal(c.Placements, other.Placements) && c.alike(other)
}

// alike says whether the same targets work and the same requests are held back.
func (c Content) alike(other Content) bool {
	return slices.Equal(c.Targets, other.Targets) && slices.EqualFunc(c.HeldBack, other.HeldBack, quarantine.Record.Equal)
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
	content := Content{Placements: s.balancer.AllPlacements(mostParts), Targets: s.balancer.Working(), Gateways: s.balancer.Gateways().Count}
	if s.HeldBack != nil {
		heldBack := s.HeldBack()
		content.HeldBack = heldBack[:min(len(heldBack), mostHeldBack)]
	}
	if len(content.Placements) == 0 && len(content.Targets) == 0 {
		return
	}
	known := Content{Placements: sorted(content.Placements), Targets: content.Targets, HeldBack: content.HeldBack}
	now := clock.Now()
	if known.equal(s.last) || now.Sub(s.savedAt) < oldest && known.near(s.last) {
		return
	}
	data, err := Encode(content)
	if err != nil {
		s.called(err)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, saveTimeout)
	defer cancel()
	err = s.store.SaveCheckpoint(ctx, data, content.Gateways)
	s.called(err)
	if err == nil {
		s.last, s.savedAt = known, now
	}
}

// near says whether little of another content is new here: no target, and few
// placements. Both are in order.
func (c Content) near(other Content) bool {
	if !c.alike(other) {
		return false
	}
	added := 0
	for _, placement := range c.Placements {
		if _, known := slices.BinarySearchFunc(other.Placements, placement, balance.ComparePlacements); !known {
			added++
		}
	}
	return float64(added) < littleChange*float64(len(other.Placements))
}

// sorted are the placements in an order that does not hang on their use.
func sorted(placements []balance.Placement) []balance.Placement {
	ordered := slices.Clone(placements)
	slices.SortFunc(ordered, balance.ComparePlacements)
	return ordered
}

// Encode writes the content as bytes.
func Encode(content Content) ([]byte, error) {
	message := &wire.PlacementCheckpoint{Gateways: uint32(min(max(content.Gateways, 0), math.MaxInt32))}
	for _, target := range content.Targets {
		message.Targets = append(message.Targets, &wire.CheckpointTarget{
			Id:         target.ID,
			Service:    target.Service,
			Address:    target.Address,
			DataCenter: target.DataCenter,
			Slots:      int32(min(target.Slots, math.MaxInt32)),
			Born:       target.Born,
		})
	}
	for _, record := range content.HeldBack {
		message.HeldBack = append(message.HeldBack, record.Message())
	}
	for _, placement := range content.Placements {
		message.Parts = append(message.Parts, placement.Part)
		message.Holders = append(message.Holders, placement.Target)
	}
	data, err := proto.Marshal(message)
	return data, errors.Wrap(err, "encode checkpoint")
}

// Decode reads what Encode wrote.
func Decode(data []byte) (Content, error) {
	message := new(wire.PlacementCheckpoint)
	if err := proto.Unmarshal(data, message); err != nil {
		return Content{}, errors.Wrap(err, "decode checkpoint")
	}
	parts, targets := message.GetParts(), message.GetHolders()
	if len(parts) != len(targets) {
		return Content{}, errors.Newf("decode checkpoint: %d parts and %d targets", len(parts), len(targets))
	}
	content := Content{Placements: make([]balance.Placement, 0, len(parts)), Gateways: int(min(message.GetGateways(), math.MaxInt32))}
	for i, part := range parts {
		content.Placements = append(content.Placements, balance.Placement{Part: part, Target: targets[i]})
	}
	for _, target := range message.GetTargets() {
		content.Targets = append(content.Targets, balance.Target{
			ID:         target.GetId(),
			Service:    target.GetService(),
			Address:    target.GetAddress(),
			DataCenter: target.GetDataCenter(),
			Slots:      int(target.GetSlots()),
			Born:       target.GetBorn(),
		})
	}
	for _, record := range message.GetHeldBack() {
		content.HeldBack = append(content.HeldBack, quarantine.RecordOf(record))
	}
	return content, nil
}
